import type {Ms} from '../clock/index.js';

/** What may be repeated: `idempotent` any number of times, `non_idempotent` at most once, `stream` only where it can be resumed. */
export type RequestKind = 'idempotent' | 'non_idempotent' | 'stream';

/** A stage that produces results for a request before its last call. */
export interface RouteStage {
	readonly service: string;
	/** Positions of the stages whose results this one takes. */
	readonly after: readonly number[];
	/** Approximate size of one result, in bytes. */
	readonly resultBytes: number;
}

/** A service with its share of a route's requests. */
export interface WeightedService {
	readonly service: string;
	readonly weight: number;
}

/** Where requests of one host and path prefix go, and under which bounds. */
export interface Route {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	/** Longest time that a caller is kept waiting. */
	readonly timeoutMs: Ms;
	/** Latency objective: of the answer, or of the first event of a stream. */
	readonly objectiveMs: Ms;
	/** Rank; 0 is the most important. */
	readonly priority: number;
	readonly services: readonly WeightedService[];
	/** Targets to which one request may be sent, at most. */
	readonly maxAttempts: number;
	readonly stages: readonly RouteStage[];
	/** True where no team's key is needed. */
	readonly isPublic: boolean;
	readonly isResumable: boolean;
}

/** Limits of one target of a stage pool. */
export interface StagePoolLimits {
	/** Calls in progress at the same time. */
	readonly slots: number;
	/** Calls that may wait for a slot. */
	readonly queue: number;
	/** Pieces in one call. */
	readonly batch: number;
	/** Fixed time of a call. */
	readonly callMs: Ms;
	/** Approximate time of each piece of a call. */
	readonly itemMs: Ms;
	/** Memory for results, in MB. */
	readonly roomMb: number;
	/** Time for which a result is kept after its call. */
	readonly resultTtlMs: Ms;
}

/** A group of targets that do the same work. */
export interface ServiceDeclaration {
	readonly name: string;
	/** Connections that one target accepts from all callers. */
	readonly maxConnections: number;
	/** Present for services that run stages. */
	readonly stagePool: StagePoolLimits | undefined;
	/** Requests that one model engine runs at once; `undefined` for other services. */
	readonly engineSlots: number | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: Ms;
	readonly idleTimeoutMs: Ms;
}

/** A team with its keys. */
export interface TeamDeclaration {
	readonly name: string;
	readonly keys: readonly string[];
	/** Goes before the priority of a route where present. */
	readonly priority: number | undefined;
}

/** One version of the relay's whole configuration. */
export interface RelayDeclarations {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, ServiceDeclaration>;
	readonly limits: CallerLimits;
	/** Empty where requests carry no keys. */
	readonly teams: readonly TeamDeclaration[];
}
