import type {Ms} from '../clock/index.js';

/** Segment of a prompt. Prompts that start with equal segments (id and text) share a cached prefix. */
export interface PromptSegment {
	readonly id: string;
	readonly text: string;
}

/** Priority class of a call: `within` or `above` the team's share of capacity. */
export type ShareClass = 'within' | 'above';

/** Call to generate tokens. A `fromIndex` above 0 resumes a stream at that chunk. */
export interface GenerateCall {
	readonly requestId: string;
	readonly stage: string;
	readonly attempt: number;
	readonly team: string;
	readonly shareClass: ShareClass;
	readonly prompt: readonly PromptSegment[];
	readonly maxTokens: number;
	readonly fromIndex: number;
	/** Text of the chunks before `fromIndex`, so that any engine can resume the stream. */
	readonly generatedText: string;
	/** Remaining time budget in ms. */
	readonly remainingMs: Ms;
}

/** Chunk of generated text. `done` marks the last chunk, which may also carry text. */
export interface Chunk {
	readonly requestId: string;
	readonly stage: string;
	readonly attempt: number;
	readonly index: number;
	readonly text: string;
	readonly done: boolean;
}

/** Load of a target, measured `ageMs` ago. */
export interface TargetLoad {
	readonly inFlight: number;
	readonly queued: number;
	readonly slots: number;
	readonly ageMs: Ms;
}

/** Health of a target. Each process started at the same address has a different `startId`. */
export interface TargetHealth {
	readonly startId: string;
	readonly draining: boolean;
}

/** Change of an engine's prefix cache. Sequence numbers have no gaps within a start id. */
export interface CacheEvent {
	readonly sequence: number;
	readonly type: 'stored' | 'evicted';
	readonly prefix: string;
	readonly tokens: number;
}

/** Complete state of an engine, desired or current. An order replaces the whole state. */
export interface EngineState {
	readonly model: string;
	readonly version: string;
	readonly adapters: readonly string[];
	readonly role: 'prefill' | 'decode' | 'both';
}

/** Order that sets the state of an engine, with the fencing token of its sender. */
export interface EngineOrder {
	readonly fencing: number;
	readonly state: EngineState;
}

/** Result of an order. `refused` means that the engine has already seen a newer fencing token. */
export type OrderResult = 'accepted' | 'refused';

/** Interface to one model engine. */
export interface EnginePort {
	/** Generates tokens and yields the chunks in batches; a batch holds the chunks that were received together. */
	generate(call: GenerateCall, signal: AbortSignal): AsyncIterable<readonly Chunk[]>;
	/** Cancels a `generate` call. */
	cancel(call: Pick<GenerateCall, 'requestId' | 'stage' | 'attempt'>): Promise<void>;
	/** Opens new connections for later calls; calls in progress keep theirs. */
	renewConnections(): void;
	load(): Promise<TargetLoad>;
	health(): Promise<TargetHealth>;
	/** Returns the cache events with a sequence number above `after`. */
	cacheEvents(after: number): Promise<{startId: string; events: readonly CacheEvent[]}>;
	order(order: EngineOrder): Promise<OrderResult>;
	/** Returns the current state of the engine. */
	state(): Promise<EngineState>;
}
