import type {Ms} from '../clock/index.js';

/** One part of a prompt. Prompts that begin with the same parts can share cached prefill work. */
export interface PromptPart {
	readonly id: string;
	readonly tokens: number;
}

/** Description of a prompt for a model engine, as declared by the caller. */
export interface Prompt {
	readonly inputTokens: number;
	readonly maxOutputTokens: number;
	/** In prompt order; the last part is specific to this request or its session. */
	readonly parts: readonly PromptPart[];
}

/** Decoded headers of a caller's request. */
export interface CallerHead {
	/** Unique for each attempt of a caller; `undefined` if the header is missing. */
	readonly attemptId: string | undefined;
	readonly host: string;
	/** Time that the caller waits for the response, measured from when it sent the request. */
	readonly timeoutMs: Ms | undefined;
	readonly teamKey: string | undefined;
	readonly prompt: Prompt | undefined;
	/** Number of pieces for each stage of the route; 0 skips the stage. */
	readonly pieces: readonly number[];
	/** Identifies the input of pieces that depend on no stage results. */
	readonly pieceKey: string | undefined;
	/** Id of the last event that the caller received in an earlier attempt. */
	/** Whether another entry VM has left the request to this one. */
	readonly isForwarded: boolean;
	readonly lastEventId: string | undefined;
	/** Alternating names and values of headers forwarded to the target unchanged. */
	readonly forwardedHeaders: readonly string[];
}

/** Fields that the relay adds to a request for a target. */
export interface TargetCall {
	/** The only target that may run the request. */
	readonly targetId: string;
	readonly team: string | undefined;
	readonly remainingMs: Ms;
	/** From 0, most urgent, to 9; only for engines. */
	readonly urgency: number | undefined;
	/** Handles of the stage results that no other stage consumes; only for engines. */
	readonly inputs: readonly string[];
	/** Id of the event after which a stream resumes. */
	readonly lastEventId: string | undefined;
}

/** Decoded headers of a target's response. */
export interface TargetHead {
	/** Attempt that the response belongs to. */
	readonly attemptId: string | undefined;
	/** True if the target signed the response. */
	readonly isSigned: boolean;
	/** True if the target reports that it did not run the request. */
	readonly isNotRun: boolean;
	/** Requests per second that the target takes from all entry VMs together; `undefined` without a limit, NaN if it cannot be read. */
	readonly limitPerSecond: number | undefined;
	/** Requests that each target of the service may reject in a second without a crash; `undefined` if it is not brittle, NaN if it cannot be read. */
	readonly brittlePerSecond: number | undefined;
	/** Time for which a response with status 503 asks for no requests; `undefined` if it does not ask for it, NaN if it cannot be read. */
	readonly retryAfterMs: Ms | undefined;
	/** True if the target says that it is draining. */
	readonly isDraining: boolean;
	/** Media type of the body in lower case, without parameters; empty without one. */
	readonly mediaType: string;
	/** Headers forwarded to the caller unchanged. */
	readonly forwardedHeaders: Record<string, string | string[]>;
}

/** Headers of one HTTP message by lower-case name, as undici provides them. */
export type HttpHeaders = Record<string, string | string[] | undefined>;

/** Decodes and encodes the headers of requests and responses. */
export interface RelayCodec {
	/** Decodes the headers of a caller's request, given as alternating names and values. */
	decodeCallerHead(rawHeaders: readonly string[]): CallerHead;
	/** Encodes the headers of a request to a target as alternating names and values. */
	encodeTargetHeaders(head: CallerHead, call: TargetCall): string[];
	/** Encodes the headers of a request that is left to another entry VM, as its caller sent them but for the remaining time. */
	encodeForwardedHeaders(rawHeaders: readonly string[], remainingMs: number | undefined): string[];
	/** Whether another entry VM, of an earlier build, says in the headers of its response that nobody has made sure of its end. */
	hasUndeclaredEnd(headers: HttpHeaders): boolean;
	/** Decodes the headers of a target's response. */
	decodeTargetHead(headers: HttpHeaders): TargetHead;
}
