import { afterEach, expect, test } from "vitest";
import { ConnectionPool, type Instance, VirtualTimerService } from "wigeonpulley";
import { createInstance } from "../fixtures/raw-endpoint.js";

const IDLE_MS = 4_000;
const ONCE_IDLE_MS = 600;
const CAP = 96;
const VMS = 6;

const pools: ConnectionPool[] = [];
afterEach(() => pools.splice(0).forEach(pool => pool.close()));

const createPool = (timers: VirtualTimerService, limit: number): ConnectionPool => {
    const pool = ConnectionPool.create({
        timers,
        connectTimeoutMs: 400,
        maxIdleMs: IDLE_MS,
        atMostOnceMaxIdleMs: ONCE_IDLE_MS,
        computeMaxConnections: () => limit,
    });
    pools.push(pool);
    return pool;
};

/** A burst: all connections are busy at once and then come back. */
const playBurst = (pool: ConnectionPool, instance: Instance, count: number): void => {
    const taken = Array.from({ length: count }, () => pool.acquire(instance, false));
    taken.forEach(connection => pool.release(instance, connection));
};

test("after bursts everywhere all VMs together keep no more connections than the endpoint takes", () => {
    const timers = VirtualTimerService.create();
    const instance = createInstance();
    const vms = Array.from({ length: VMS }, () => createPool(timers, Math.floor(CAP / VMS)));
    vms.forEach(pool => playBurst(pool, instance, 40));
    expect(vms.reduce((sum, pool) => sum + pool.countOpen(instance), 0)).toBeLessThanOrEqual(CAP);
    expect(vms[0]?.countOpen(instance)).toBe(CAP / VMS);
});

test("a VM whose part is less than one connection keeps none", () => {
    const timers = VirtualTimerService.create();
    const pool = createPool(timers, 0);
    playBurst(pool, createInstance(), 3);
    expect(pool.countOpen(createInstance())).toBe(0);
});

test("idle connections are closed after their time although nobody asks for them", async () => {
    const timers = VirtualTimerService.create();
    const pool = createPool(timers, 10);
    playBurst(pool, createInstance(), 3);
    await timers.advance(2 * IDLE_MS + 1);
    expect(pool.countOpen(createInstance())).toBe(0);
});

test("a request that runs once gets no connection that was idle for long", async () => {
    const timers = VirtualTimerService.create();
    const pool = createPool(timers, 10);
    const instance = createInstance();
    const first = pool.acquire(instance, true);
    pool.release(instance, first);
    await timers.advance(ONCE_IDLE_MS + 1);
    expect(pool.acquire(instance, true)).not.toBe(first);
    expect(pool.acquire(instance, false)).toBe(first);
});

test("a connection that replaces expired ones is counted", async () => {
    const timers = VirtualTimerService.create();
    const pool = createPool(timers, 10);
    const instance = createInstance();
    pool.release(instance, pool.acquire(instance, false));
    await timers.advance(IDLE_MS + 1);
    const taken = pool.acquire(instance, false);
    expect(pool.countOpen(instance)).toBe(1);
    pool.discard(instance, taken);
    expect(pool.countOpen(instance)).toBe(0);
});
