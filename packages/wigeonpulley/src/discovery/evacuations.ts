/**
 * Data centres that the operators have evacuated: their instances get no further requests until the record is removed. The
 * state changes only by records, so that it stays in force while the store is unreachable.
 */
import type { EventLogger } from "../logging/index.js";

/** Called with a data centre and whether it is evacuated now, after each change. */
export type EvacuationListener = (dataCentre: string, isEvacuated: boolean) => void;

/** Evacuations that one VM knows of. */
export class Evacuations {
    /** Data centres with a record, also unknown ones, whose instances may register later. */
    private readonly dataCentres = new Set<string>();
    private readonly listeners: EvacuationListener[] = [];
    private hasSnapshot = false;

    private constructor(
        private readonly logger: EventLogger,
        private readonly isKnown: (dataCentre: string) => boolean,
    ) {}

    /** Creates a state without evacuations. `isKnown` returns whether a data centre is known to this VM. */
    static create(
        logger: EventLogger,
        isKnown: (dataCentre: string) => boolean = () => true,
    ): Evacuations {
        return new Evacuations(logger, isKnown);
    }

    /** Calls back after each change. */
    subscribe(listener: EvacuationListener): void {
        this.listeners.push(listener);
    }

    /** True once a snapshot of the operators' records has been applied. */
    get isLoaded(): boolean {
        return this.hasSnapshot;
    }

    /** True while the instances of a data centre must get no requests. */
    isEvacuated(dataCentre: string): boolean {
        return this.dataCentres.has(dataCentre);
    }

    /** Names of the known data centres that are evacuated, sorted. */
    list(): readonly string[] {
        return [...this.dataCentres].filter(name => this.isKnown(name)).toSorted();
    }

    /** Applies a snapshot, given the data centres with a record in it; all other evacuations have ended. */
    applySnapshot(requested: ReadonlySet<string>): void {
        this.hasSnapshot = true;
        [...this.dataCentres].filter(name => !requested.has(name)).forEach(name => this.end(name));
        [...requested].filter(name => !this.dataCentres.has(name)).forEach(name => this.start(name));
    }

    /** Applies a record that requests an evacuation, or its removal. */
    applyChange(dataCentre: string, isRequested: boolean): void {
        if (this.dataCentres.has(dataCentre) === isRequested) {
            this.logger.write("EvacuationUnchanged", {
                dataCentre,
                reason: isRequested ? "it is evacuated already" : "it is not evacuated",
            });
        }
        else if (isRequested) {
            this.start(dataCentre);
        }
        else {
            this.end(dataCentre);
        }
    }

    private start(dataCentre: string): void {
        this.dataCentres.add(dataCentre);
        if (this.isKnown(dataCentre)) {
            this.logger.write("EvacuationStarted", { dataCentre });
            this.notify(dataCentre, true);
        }
        else {
            this.logger.write("EvacuationUnchanged", { dataCentre, reason: "no such data centre is known" });
        }
    }

    private end(dataCentre: string): void {
        this.dataCentres.delete(dataCentre);
        if (this.isKnown(dataCentre)) {
            this.logger.write("EvacuationEnded", { dataCentre });
            this.notify(dataCentre, false);
        }
    }

    private notify(dataCentre: string, isEvacuated: boolean): void {
        this.listeners.forEach(listener => listener(dataCentre, isEvacuated));
    }
}
