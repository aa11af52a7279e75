import type {Ms} from '../clock/index.js';

/** One part of a prompt; prompts that begin with the same parts can share cached work. */
export interface PromptPart {
	readonly id: string;
	readonly tokens: number;
}

/** What a caller says of a request to a model engine. */
export interface Prompt {
	readonly inputTokens: number;
	readonly maxOutputTokens: number;
	/** In the order of the prompt; the last one belongs to this request or its session alone. */
	readonly parts: readonly PromptPart[];
}

/** The head of a caller's request, decoded. */
export interface CallerHead {
	/** Unique for each attempt of a caller; `undefined` where it is missing. */
	readonly attemptId: string | undefined;
	readonly host: string;
	/** Time for which the caller waits, from its sending. */
	readonly waitsMs: Ms | undefined;
	readonly teamKey: string | undefined;
	readonly prompt: Prompt | undefined;
	/** Number of pieces for each stage of the route; 0 leaves a stage out. */
	readonly pieces: readonly number[];
	/** Names the material of pieces that take no results. */
	readonly pieceKey: string | undefined;
	/** Last event that the caller has of an earlier attempt. */
	readonly lastEventId: string | undefined;
	/** Names and values by turns, to be passed to the target unchanged. */
	readonly passed: readonly string[];
}

/** What the relay adds to a request for a target. */
export interface TargetCall {
	/** The only target that may run it. */
	readonly targetId: string;
	readonly team: string | undefined;
	readonly leftMs: Ms;
	/** 0 is the most urgent, 9 the least; engines only. */
	readonly urgency: number | undefined;
	/** Results of the stages that no other stage takes; engines only. */
	readonly inputs: readonly string[];
	/** The event after which a stream goes on. */
	readonly lastEventId: string | undefined;
}

/** The head of a target's answer, decoded. */
export interface TargetHead {
	/** The attempt that the answer belongs to. */
	readonly attemptId: string | undefined;
	/** True where the target signed the answer. */
	readonly isSigned: boolean;
	/** True where the target says that it did not run the request. */
	readonly isNotRun: boolean;
	/** Names and values to be passed to the caller unchanged. */
	readonly passed: Record<string, string | string[]>;
}

/** Headers of one HTTP message by lower-case name, as undici gives them. */
export type HttpHeaders = Record<string, string | string[] | undefined>;

/** Translates heads between the wire and the relay. */
export interface RelayCodec {
	/** Decodes a caller's head from names and values by turns. */
	readCaller(rawHeaders: readonly string[]): CallerHead;
	/** Returns names and values by turns. */
	writeTarget(head: CallerHead, call: TargetCall): string[];
	readTarget(headers: HttpHeaders): TargetHead;
}
