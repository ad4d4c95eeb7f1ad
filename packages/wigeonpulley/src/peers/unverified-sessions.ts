/** Bounds the sessions on the port for other VMs whose clients have not shown the key that all VMs share. */
import type { ServerHttp2Session } from "node:http2";
import type { TimerService } from "../time/index.js";

/** Time for a client to send a first call with the key, in milliseconds. A VM sends it as soon as it is connected. */
const VERIFY_TIMEOUT_MS = 5_000;

/** Limits and dependencies. */
export interface UnverifiedSessionsOptions {
    readonly timers: TimerService;
    readonly maxSessions: number;
    /** Called for each session that is closed because of the limit or the timeout. */
    readonly onClose: () => void;
}

/** Unverified sessions of one server. */
export class UnverifiedSessions {
    /** How to cancel the timeout of each session, in the order in which the sessions were opened. */
    private readonly cancelBySession = new Map<ServerHttp2Session, () => void>();

    private constructor(private readonly options: UnverifiedSessionsOptions) {}

    /** Creates a set without sessions. */
    static create(options: UnverifiedSessionsOptions): UnverifiedSessions {
        return new UnverifiedSessions(options);
    }

    /** Adds a new session; closes the oldest one if there are too many. */
    add(session: ServerHttp2Session): void {
        const { timers, maxSessions } = this.options;
        const cancel = timers.schedule(VERIFY_TIMEOUT_MS, () => this.close(session));
        this.cancelBySession.set(session, cancel);
        session.once("close", () => this.remove(session));
        if (this.cancelBySession.size > maxSessions) {
            const [oldest = session] = this.cancelBySession.keys();
            this.close(oldest);
        }
    }

    /** Takes out a session that has been closed, or whose client has shown the key. */
    remove(session: ServerHttp2Session): void {
        this.cancelBySession.get(session)?.();
        this.cancelBySession.delete(session);
    }

    private close(session: ServerHttp2Session): void {
        this.remove(session);
        this.options.onClose();
        session.destroy();
    }
}
