/** Reads how many bytes of each connection the operating system has sent and the other side has not acknowledged. */
import { readFile } from "node:fs/promises";
import type { Socket } from "node:net";

/** The kernel's list of IPv4 connections. Servers listen on IPv4 addresses; others are judged by what Node.js has written. */
const PATH = "/proc/self/net/tcp";
const HEXADECIMAL = 16;
/** A line of the list: number, local address and port, remote address and port, state, bytes to send and to receive. */
const LINE = /^ *\d+: [0-9A-F]{8}:([0-9A-F]{4}) ([0-9A-F]{8}):([0-9A-F]{4}) [0-9A-F]{2} ([0-9A-F]{8}):/gm;

/** Bytes by connection. */
export type SendQueues = ReadonlyMap<string, number>;

const parseNumber = (digits: string): number => parseInt(digits, HEXADECIMAL);

/** Reads the send queues of all connections; empty where the operating system has no such list. */
export const readSendQueues = async (): Promise<SendQueues> => {
    const text = await readFile(PATH, "latin1").catch(() => "");
    return new Map(
        [...text.matchAll(LINE)].map(([, localPort = "", remote = "", remotePort = "", bytes = ""]) => [
            createKey(parseNumber(localPort), remote, parseNumber(remotePort)),
            parseNumber(bytes),
        ]),
    );
};

/** Finds the bytes of a connection that are not acknowledged; undefined when they are not known. */
export const findSendQueue = (
    queues: SendQueues,
    { localPort = 0, remoteAddress = "", remotePort = 0 }: Socket,
): number | undefined => queues.get(createKey(localPort, formatAddress(remoteAddress), remotePort));

const createKey = (localPort: number, remote: string, remotePort: number): string =>
    `${localPort} ${remote}:${remotePort}`;

/** Formats an IPv4 address as the kernel of a little-endian machine does. */
const formatAddress = (address: string): string =>
    address.split(".").reverse().map(part => Number(part).toString(HEXADECIMAL).padStart(2, "0")).join("")
        .toUpperCase();
