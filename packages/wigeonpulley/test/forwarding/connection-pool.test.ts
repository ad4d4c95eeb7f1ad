import { afterEach, expect, test } from "vitest";
import { ConnectionPool, type Instance, VirtualTimerService } from "wigeonpulley";
import { createInstance } from "../fixtures/raw-endpoint.js";

const MAX_IDLE_MS = 4_000;
const AT_MOST_ONCE_MAX_IDLE_MS = 600;
const MAX_CONNECTIONS = 96;
const VM_COUNT = 6;

const pools: ConnectionPool[] = [];
afterEach(() => pools.splice(0).forEach(pool => pool.close()));

const createPool = (timers: VirtualTimerService, limit: number): ConnectionPool => {
    const pool = ConnectionPool.create({
        timers,
        connectTimeoutMs: 400,
        maxIdleMs: MAX_IDLE_MS,
        atMostOnceMaxIdleMs: AT_MOST_ONCE_MAX_IDLE_MS,
        computeMaxConnections: () => limit,
    });
    pools.push(pool);
    return pool;
};

/** A burst: all connections are busy at the same time and are then released. */
const simulateBurst = (pool: ConnectionPool, instance: Instance, count: number): void => {
    const acquired = Array.from({ length: count }, () => pool.acquire(instance, false));
    acquired.forEach(connection => pool.release(instance, connection));
};

test("after bursts at every VM, all VMs together keep no more connections than the endpoint accepts", () => {
    const timers = VirtualTimerService.create();
    const instance = createInstance();
    const vms = Array.from(
        { length: VM_COUNT },
        () => createPool(timers, Math.floor(MAX_CONNECTIONS / VM_COUNT)),
    );
    vms.forEach(pool => simulateBurst(pool, instance, 40));
    expect(vms.reduce((sum, pool) => sum + pool.countOpen(instance), 0)).toBeLessThanOrEqual(MAX_CONNECTIONS);
    expect(vms[0]?.countOpen(instance)).toBe(MAX_CONNECTIONS / VM_COUNT);
});

test("a VM whose share is less than one connection keeps none", () => {
    const timers = VirtualTimerService.create();
    const pool = createPool(timers, 0);
    simulateBurst(pool, createInstance(), 3);
    expect(pool.countOpen(createInstance())).toBe(0);
});

test("idle connections are closed after their maximum idle time without further requests", async () => {
    const timers = VirtualTimerService.create();
    const pool = createPool(timers, 10);
    simulateBurst(pool, createInstance(), 3);
    await timers.advance(2 * MAX_IDLE_MS + 1);
    expect(pool.countOpen(createInstance())).toBe(0);
});

test("a request that may run at most once gets no connection that was idle for long", async () => {
    const timers = VirtualTimerService.create();
    const pool = createPool(timers, 10);
    const instance = createInstance();
    const first = pool.acquire(instance, true);
    pool.release(instance, first);
    await timers.advance(AT_MOST_ONCE_MAX_IDLE_MS + 1);
    expect(pool.acquire(instance, true)).not.toBe(first);
    expect(pool.acquire(instance, false)).toBe(first);
});

test("a connection that replaces an expired one is counted", async () => {
    const timers = VirtualTimerService.create();
    const pool = createPool(timers, 10);
    const instance = createInstance();
    pool.release(instance, pool.acquire(instance, false));
    await timers.advance(MAX_IDLE_MS + 1);
    const acquired = pool.acquire(instance, false);
    expect(pool.countOpen(instance)).toBe(1);
    pool.reset(instance, acquired);
    expect(pool.countOpen(instance)).toBe(0);
});
