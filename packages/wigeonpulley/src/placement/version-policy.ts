/** Which version of a service a request may get. */
import type { Instance } from "../discovery/index.js";

/** Versions in use; implemented by roll-outs. */
export abstract class VersionPolicy {
    /** Decides for a new request whether it tries a new version, where there is one. */
    abstract chooseCanary(service: string): boolean;

    /** True while the instance may get a request. */
    abstract canUse(instance: Instance, isCanary: boolean): boolean;

    /** True for an instance of a version that is being tried. */
    abstract isCanaryVersion(instance: Instance): boolean;

    /** Notes that a request was sent to an instance. */
    abstract recordDispatch(instance: Instance): void;

    /** Notes how a request ended: the time to its first event or answer, in milliseconds, undefined for a failure. */
    abstract recordOutcome(instance: Instance, route: string, elapsedMs: number | undefined): void;
}

/** Every version is as good as any other. */
export class AnyVersionPolicy extends VersionPolicy {
    private constructor() {
        super();
    }

    /** Creates the policy. */
    static create(): AnyVersionPolicy {
        return new AnyVersionPolicy();
    }

    override chooseCanary(): boolean {
        return false;
    }

    override canUse(): boolean {
        return true;
    }

    override isCanaryVersion(): boolean {
        return false;
    }

    override recordDispatch(): void {
        // Nothing depends on it.
    }

    override recordOutcome(): void {
        // Nothing depends on it.
    }
}
