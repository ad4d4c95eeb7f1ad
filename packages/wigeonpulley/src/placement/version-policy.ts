/** Decides which versions of a service a request may go to. */
import type { Instance } from "../discovery/index.js";

/** Policy on versions; implemented by rollouts. */
export abstract class VersionPolicy {
    /** Decides whether a new request should go to the canary version, if there is one. */
    abstract chooseCanary(service: string): boolean;

    /** True while the instance may get a request; `isCanary` is what was decided for the request. */
    abstract canUse(instance: Instance, isCanary: boolean): boolean;

    /** True for an instance of the canary version. */
    abstract isCanaryVersion(instance: Instance): boolean;

    /** Records that a request was sent to an instance. */
    abstract recordDispatch(instance: Instance): void;

    /** Records how a request ended: time to its first event or response in milliseconds, undefined for a failure. */
    abstract recordOutcome(instance: Instance, route: string, elapsedMs: number | undefined): void;
}

/** Allows every version without preference. */
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
