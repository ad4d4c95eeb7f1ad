/**
 * Decides which VMs are live and which of them owns a key.
 * Ownership is only a hint that spreads load; it may not be used where safety needs agreement.
 */
export { GossipPartners, type GossipPartnersOptions } from "./gossip-partners.js";
export { isNewerState, type MemberRecord, MemberTable } from "./member-table.js";
export {
    ConfigurationFreshness,
    type Evidence,
    EvidenceGossip,
    InstanceListGossip,
    type Member,
    type MembershipOptions,
    MembershipService,
    type OwnerLocation,
    ReportGossip,
    type VmCount,
} from "./membership-service.js";
export { findStoreReader, type StoreReadingRole } from "./store-readers.js";
export { VmListCopier, type VmListCopierOptions } from "./vm-list-copier.js";
