import type {Ms} from '../clock/index.js';

/** One segment of a prompt; equal ids and texts share cached prefixes. */
export interface PromptSegment {
	readonly id: string;
	readonly text: string;
}

/** Priority class of a call: `within` the team's share or `above` it. */
export type ShareClass = 'within' | 'above';

/** A call to generate tokens. `fromIndex` resumes a stream at that chunk. */
export interface GenerateCall {
	readonly requestId: string;
	readonly stage: string;
	readonly attempt: number;
	readonly team: string;
	readonly shareClass: ShareClass;
	readonly prompt: readonly PromptSegment[];
	readonly maxTokens: number;
	readonly fromIndex: number;
	/** Text of the chunks before `fromIndex`, so that any engine can go on from there. */
	readonly generatedText: string;
	/** Remaining time budget in ms. */
	readonly remainingMs: Ms;
}

/** One generated token chunk. `done` marks the last one; it may carry text. */
export interface Chunk {
	readonly requestId: string;
	readonly stage: string;
	readonly attempt: number;
	readonly index: number;
	readonly text: string;
	readonly done: boolean;
}

/** Load report of a target, as of `ageMs` ago. */
export interface TargetLoad {
	readonly inFlight: number;
	readonly queued: number;
	readonly slots: number;
	readonly ageMs: Ms;
}

/** Health of a target. `startId` differs for each start at the same address. */
export interface TargetHealth {
	readonly startId: string;
	readonly draining: boolean;
}

/** Change of an engine's prefix cache; sequences without gaps per start id. */
export interface CacheEvent {
	readonly sequence: number;
	readonly type: 'stored' | 'evicted';
	readonly prefix: string;
	readonly tokens: number;
}

/** Absolute desired state of an engine. */
export interface EngineState {
	readonly model: string;
	readonly version: string;
	readonly adapters: readonly string[];
	readonly role: 'prefill' | 'decode' | 'both';
}

/** Order to an engine, with the fencing number of its giver. */
export interface EngineOrder {
	readonly fencing: number;
	readonly state: EngineState;
}

/** Result of an order. `refused` means the fencing number was older than one seen before. */
export type OrderResult = 'accepted' | 'refused';

/** Port to one model engine. */
export interface EnginePort {
	/** Streams chunks batch by batch; each batch holds the chunks that arrived together. */
	generate(call: GenerateCall, signal: AbortSignal): AsyncIterable<readonly Chunk[]>;
	cancel(call: Pick<GenerateCall, 'requestId' | 'stage' | 'attempt'>): Promise<void>;
	/** Uses fresh connections from now on; calls in progress keep theirs. */
	renew(): void;
	load(): Promise<TargetLoad>;
	health(): Promise<TargetHealth>;
	cacheEvents(after: number): Promise<{startId: string; events: readonly CacheEvent[]}>;
	order(order: EngineOrder): Promise<OrderResult>;
	/** Reads the engine's present state back. */
	state(): Promise<EngineState>;
}
