/** Reads how many bytes of each connection the operating system has sent and the other side has not acknowledged. */
import { readFile } from "node:fs/promises";
import type { Socket } from "node:net";

/** The kernel's list of IPv4 connections. Servers listen on IPv4 addresses; others are judged by what Node.js has written. */
const PATH = "/proc/self/net/tcp";
const HEXADECIMAL = 16;
/** A line of the list: number, local address and port, remote address and port, state, bytes to send and to receive. */
const LINE = /^ *\d+: [0-9A-F]{8}:([0-9A-F]{4}) ([0-9A-F]{8}):([0-9A-F]{4}) [0-9A-F]{2} ([0-9A-F]{8}):/gm;

const parseNumber = (digits: string): number => parseInt(digits, HEXADECIMAL);

/** Reads the send queues of the connections of this process. */
export abstract class SendQueueReader {
    /** Reads the bytes that wait for an acknowledgement, for each of the connections that are known to the kernel. */
    abstract read(sockets: readonly Socket[]): Promise<ReadonlyMap<Socket, number>>;
}

/** Reads them from the kernel's list; empty where the operating system has none. */
export class KernelSendQueueReader extends SendQueueReader {
    private constructor() {
        super();
    }

    /** Creates a reader. */
    static create(): KernelSendQueueReader {
        return new KernelSendQueueReader();
    }

    override async read(sockets: readonly Socket[]): Promise<ReadonlyMap<Socket, number>> {
        const text = await readFile(PATH, "latin1").catch(() => "");
        const queues = new Map(
            [...text.matchAll(LINE)].map(([, localPort = "", remote = "", remotePort = "", bytes = ""]) => [
                createKey(parseNumber(localPort), remote, parseNumber(remotePort)),
                parseNumber(bytes),
            ]),
        );
        return new Map(
            sockets.flatMap(socket => {
                const { localPort = 0, remoteAddress = "", remotePort = 0 } = socket;
                const bytes = queues.get(createKey(localPort, formatAddress(remoteAddress), remotePort));
                return bytes === undefined ? [] : [[socket, bytes] as const];
            }),
        );
    }
}

const createKey = (localPort: number, remote: string, remotePort: number): string =>
    `${localPort} ${remote}:${remotePort}`;

/** Formats an IPv4 address as the kernel of a little-endian machine does. */
const formatAddress = (address: string): string =>
    address.split(".").reverse().map(part => Number(part).toString(HEXADECIMAL).padStart(2, "0")).join("")
        .toUpperCase();
