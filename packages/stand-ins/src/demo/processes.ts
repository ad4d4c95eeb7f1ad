/** Starts and stops the processes of the demo and of the tests with real processes. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { createInterface } from "node:readline";

const LOOPBACK = "127.0.0.1";

/** Started process. */
export interface StartedProcess {
    readonly child: ChildProcess;
    /** Port on which the process listens. */
    readonly port: number;
}

/** Finds a free TCP port of the loopback address. Another process may take it before its use. */
export const findFreePort = async (): Promise<number> => {
    const server = createServer();
    server.listen(0, LOOPBACK);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
};

/** Starts a stand-in and waits until it listens; it prints its port. */
export const startStandIn = async (mainPath: string, ...args: readonly string[]): Promise<StartedProcess> => {
    const child = spawn(process.execPath, [mainPath, ...args], { stdio: ["ignore", "pipe", "inherit"] });
    const [line] = await once(createInterface(child.stdout), "line") as [string];
    return { child, port: (JSON.parse(line) as { port: number; }).port };
};

/** Line of a VM's log. */
export interface LogLine {
    readonly event: number;
    readonly vm: string;
    readonly message: string;
}

/** Starts a VM and waits until it listens; `onLine` receives the lines of its log. */
export const startVm = async (
    cliPath: string,
    settingsPath: string,
    port: number,
    onLine: (line: LogLine) => void,
): Promise<StartedProcess> => {
    const child = spawn(process.execPath, [cliPath, "serve", "--settings", settingsPath], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    await new Promise<void>((resolve, reject) => {
        child.once("exit", code => reject(new Error(`the VM exited with code ${code}`)));
        createInterface(child.stdout).on("line", text => {
            if (!text.startsWith('{"time"')) {
                process.stderr.write(`${text}\n`);
                return;
            }
            const line = JSON.parse(text) as LogLine;
            onLine(line);
            if (line.event === EVENT_VM_STARTED) {
                resolve();
            }
        });
    });
    return { child, port };
};

const EVENT_VM_STARTED = 101;

/** Sends a signal to a process and waits for its exit. Returns the exit code; undefined if a signal killed it. */
export const stopProcess = async (
    child: ChildProcess,
    signal: NodeJS.Signals,
): Promise<number | undefined> => {
    if (child.exitCode !== null || child.signalCode !== null) { // eslint-disable-line no-restricted-syntax -- node's value
        return child.exitCode ?? undefined;
    }
    const exited = once(child, "exit") as Promise<[number | null]>;
    child.kill(signal);
    const [code] = await exited;
    return code ?? undefined;
};
