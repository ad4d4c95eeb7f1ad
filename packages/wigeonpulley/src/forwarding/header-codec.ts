/** Metadata in the headers of requests and responses. The deployment's adapter defines the names of the headers. */
import type { Result } from "ts-results-es";
import type { SchedulerError } from "../errors/index.js";

/** One block of a prompt; requests that share it may share its prefill. */
export interface PromptPrefixBlock {
    readonly id: string;
    readonly tokens: number;
}

/** Metadata of a caller's request. */
export interface RequestMetadata {
    /** Id of this attempt of the caller; endpoints echo it. */
    readonly attemptId: string;
    /** Time that the caller waits for the response, in milliseconds. */
    readonly deadlineMs: number | undefined;
    /** Key of the caller. */
    readonly key: string | undefined;
    /** Prompt tokens and maximum output tokens; undefined when the request declares none. */
    readonly tokens: { readonly prompt: number; readonly output: number; } | undefined;
    /** The caller's estimate of the output tokens; often far off. */
    readonly outputTokensHint: number | undefined;
    /** Blocks at the beginning of the prompt, in order; empty when the request declares none. */
    readonly promptBlocks: readonly PromptPrefixBlock[];
    /** Event after which the caller wants its stream resumed. */
    readonly lastEventId: string | undefined;
}

/** Metadata of a dispatch, for the endpoint. */
export interface DispatchMetadata {
    /** Remaining time, in milliseconds. */
    readonly deadlineMs: number;
    /** Instance that the request is meant for. */
    readonly instanceId: string;
    readonly workspace: string | undefined;
    /** Event after which the endpoint resumes the stream; undefined leaves the caller's header. */
    readonly lastEventId: string | undefined;
}

/** Metadata of a request that is passed on to another VM. */
export interface PeerMetadata {
    /** Remaining time, in milliseconds. */
    readonly deadlineMs: number;
    /** Key of the caller; the other VM checks it again. */
    readonly key: string | undefined;
    /** Event after which the stream is to be resumed; undefined leaves the caller's header. */
    readonly lastEventId: string | undefined;
}

/** Metadata of an endpoint's response. */
export interface ResponseMetadata {
    readonly attemptId: string | undefined;
    /** True when the response carries the endpoint's signature. */
    readonly isSigned: boolean;
    /** True when the endpoint states that it did not run the request and never will. */
    readonly isNotRun: boolean;
    /** True when the request was meant for another instance and therefore did not run. */
    readonly isMisdirected: boolean;
    /** Requests a second that the endpoint takes from all VMs together; undefined when it names no limit. */
    readonly limitPerS: number | undefined;
    /** Requests that the endpoint may turn away in a second without failing; undefined when it names no number. */
    readonly rejectionsPerS: number | undefined;
}

/** Headers by lower-case name, as undici gives them. */
export type ParsedHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Parses and creates the headers of one deployment. */
export abstract class HeaderCodec {
    /** Parses a caller's headers. Fails with InvalidRequest. */
    abstract parseRequest(headers: ParsedHeaders): Result<RequestMetadata, SchedulerError>;

    /** True for a header that callers can't set; the caller's value is not forwarded. */
    abstract isReserved(lowerCaseName: string): boolean;

    /** Creates the headers that the VM adds for the endpoint, as alternating names and values. */
    abstract createDispatchHeaders(metadata: DispatchMetadata): readonly string[];

    /**
     * Creates the headers of a request to another VM in place of the caller's reserved ones, as alternating names and
     * values.
     */
    abstract createPeerHeaders(metadata: PeerMetadata): readonly string[];

    /** Parses the status and headers of an endpoint's response. */
    abstract parseResponse(status: number, headers: ParsedHeaders): ResponseMetadata;
}
