/** What the headers of requests and answers say. The names of the headers belong to the deployment's adapter. */
import type { Result } from "ts-results-es";
import type { SchedulerError } from "../errors/index.js";

/** One part of a prompt; requests that share it may share its prefill. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a caller says of its request. */
export interface RequestMetadata {
    /** Id of this try of the caller; endpoints echo it. */
    readonly attemptId: string;
    /** Time that the caller will wait, in milliseconds. */
    readonly deadlineMs: number | undefined;
    /** Key of the caller. */
    readonly key: string | undefined;
    /** Prompt tokens and the most output tokens; undefined for requests that declare none. */
    readonly tokens: { readonly prompt: number; readonly output: number; } | undefined;
    /** The caller's own estimate of the output tokens; often far off. */
    readonly outputTokensHint: number | undefined;
    readonly promptParts: readonly PromptPart[];
    /** Event after which the caller wants its stream to go on. */
    readonly lastEventId: string | undefined;
}

/** What a VM tells the endpoint. */
export interface DispatchMetadata {
    /** Time left, in milliseconds. */
    readonly deadlineMs: number;
    /** Instance that the request is meant for. */
    readonly instanceId: string;
    readonly workspace: string | undefined;
    /** Event after which the endpoint has to go on; undefined leaves the caller's value. */
    readonly lastEventId: string | undefined;
}

/** What an endpoint says of its answer. */
export interface ResponseMetadata {
    readonly attemptId: string | undefined;
    /** True when the answer bears the endpoint's signature. */
    readonly isSigned: boolean;
    /** True when the endpoint states that it did not run the request and never will. */
    readonly isNotRun: boolean;
    /** True when it did not run it because it is not the instance that the request was meant for. */
    readonly isMisdirected: boolean;
}

/** Headers by lower-case name, as undici gives them. */
export type ParsedHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Reads and writes the headers of one deployment. */
export abstract class HeaderCodec {
    /** Reads a caller's headers. Fails with InvalidRequest. */
    abstract parseRequest(headers: ParsedHeaders): Result<RequestMetadata, SchedulerError>;

    /** True for a header that a caller can't set and that is not passed on as the caller sent it. */
    abstract isReserved(lowerCaseName: string): boolean;

    /** Headers that the VM adds for the endpoint, as name and value by turns. */
    abstract createDispatchHeaders(facts: DispatchMetadata): readonly string[];

    /** Reads the status and headers of an endpoint's answer. */
    abstract parseResponse(status: number, headers: ParsedHeaders): ResponseMetadata;
}
