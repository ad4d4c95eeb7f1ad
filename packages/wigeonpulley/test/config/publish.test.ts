/** Guards against lost or duplicate changes when operators publish concurrently and appends or responses are lost. */
import { fc, test } from "@fast-check/vitest";
import { type LogFault, SimulatedLog, SimulatedPlatform } from "@wigeonpulley/stand-ins";
import { expect } from "vitest";
import {
    CONFIGURATION_STREAM,
    createPublishRecord,
    NO_VERSION,
    publishConfiguration,
    readAuditTrail,
    readCurrentVersion,
    VirtualTimerService,
} from "wigeonpulley";
import { UNIT_PROPERTY } from "../fixtures/properties.js";
import { createTestConfiguration } from "../fixtures/test-configuration.js";

const LIMIT_MS = 120_000;
const LATE_APPEND_MS = 10_000;
const faultArbitrary: fc.Arbitrary<LogFault> = fc.constantFrom(
    "none",
    "refused",
    "lost-request",
    "lost-answer",
    "lands-late",
);

test.prop([
    fc.array(faultArbitrary, { maxLength: 8 }),
    fc.array(fc.nat({ max: 4_000 }), { minLength: 2, maxLength: 4 }),
], {
    ...UNIT_PROPERTY,
    numRuns: 100,
})(
    "of several changes with the same base exactly one takes effect, and every result is accurate",
    async (faults, starts) => {
        const timers = VirtualTimerService.create();
        const platform = SimulatedPlatform.create(timers);
        const pending = [...faults];
        platform.chooseAppendFault = () => pending.shift() ?? "none";
        const log = SimulatedLog.create(platform, timers);
        const publish = async (startMs: number, index: number) => {
            await timers.sleep(startMs);
            const change = { base: NO_VERSION, changeId: `change-${index}`, author: "test" };
            const record = createPublishRecord(
                { ...change, configuration: createTestConfiguration() },
                timers,
            );
            return publishConfiguration(log, timers, record);
        };
        const results = await timers.runUntilSettled(Promise.all(starts.map(publish)), LIMIT_MS);
        await timers.advance(LATE_APPEND_MS);
        const state = (await timers.runUntilSettled(readCurrentVersion(log), LIMIT_MS)).unwrap();
        const winners = results.filter(result => result.isOk());
        expect(winners).toHaveLength(1);
        expect(winners[0]?.unwrap().version).toBe(state.current?.version);
        results.filter(result => result.isErr()).forEach(result =>
            expect(result.error.name).toBe("ConfigurationConflict")
        );
        const audit = (await timers.runUntilSettled(readAuditTrail(log), LIMIT_MS)).unwrap();
        expect(audit.filter(entry => entry.verdict === "effective")).toHaveLength(1);
        expect(platform.listRecords(CONFIGURATION_STREAM).length).toBeGreaterThan(0);
    },
);
