import { Ok, type Result } from "ts-results-es";
import { expect, test } from "vitest";
import {
    type LogPage,
    PartitionFollower,
    PlatformLog,
    readCurrentVersion,
    type SchedulerError,
} from "wigeonpulley";

/** Log of three records that returns none of them. */
class EmptyPageLog extends PlatformLog {
    static create(): EmptyPageLog {
        return new EmptyPageLog();
    }

    override append(): Promise<Result<number, SchedulerError>> {
        throw new TypeError("only read from here");
    }

    override read(): Promise<Result<LogPage, SchedulerError>> {
        return Promise.resolve(Ok({ records: [], firstOffset: 0, endOffset: 3 }));
    }
}

// Guards against TWICE: a claim that was not read yet would be taken for none.
test("a claim partition of which a page lacks the records before its end is not read to the end", async () => {
    const follower = PartitionFollower.create(EmptyPageLog.create(), "claims-0");
    expect((await follower.trackVerdict("nonce")).unwrapErr().name).toBe("LogUnavailable");
});

// Guards against CONFIG: an older version would be taken for the newest one.
test("a configuration stream of which a page lacks the records before its end is not read to the end", async () => {
    const state = await readCurrentVersion(EmptyPageLog.create());
    expect(state.unwrapErr().name).toBe("LogUnavailable");
});
