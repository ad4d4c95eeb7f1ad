/**
 * Chooses the VMs that read the store for others. Each read is a call to the store, so in a region of many VMs a few read often
 * and the others ask them in their regular gossip. Every VM computes this for itself; when views differ or a reader fails, a VM
 * that learns of nothing in time reads for itself.
 */
import { chooseByRendezvous, hashText } from "../hashing/index.js";
import type { VmListEntry } from "../platform/index.js";

/** How a VM keeps its copies of the store's records up to date. */
export type StoreReadingRole = "independent" | "reader" | "follower";

/** Live VMs of a region from which on some read for others; fewer hear each other's reads soon enough anyway. */
const MIN_VMS_WITH_READERS = 8;
/** VMs for each reader: each asks twice a second, which takes a reader about one hundredth of a core. */
const VMS_PER_READER = 12;

/** Returns the reader whose copies a VM follows, which may be the VM itself; undefined when each VM reads for itself. */
export const findStoreReader = (
    { name, region }: Pick<VmListEntry, "name" | "region">,
    live: readonly VmListEntry[],
): VmListEntry | undefined => {
    const inRegion = live.filter(vm => vm.region === region);
    if (inRegion.length < MIN_VMS_WITH_READERS) {
        return undefined;
    }
    const readers = inRegion
        .map(vm => ({ vm, hash: hashText(`store-reader\n${vm.name}`) }))
        .toSorted((left, right) => right.hash - left.hash)
        .slice(0, Math.ceil(inRegion.length / VMS_PER_READER))
        .map(({ vm }) => vm);
    return readers.find(reader => reader.name === name)
        ?? chooseByRendezvous(name, readers, reader => reader.name);
};
