import type {Ms} from '../clock/index.js';

/** Whether a request may run more than once: `idempotent` always, `non_idempotent` never, `stream` only if it can be resumed. */
export type RequestKind = 'idempotent' | 'non_idempotent' | 'stream';

/** A stage that produces results for a request before it is sent to its final target. */
export interface RouteStage {
	readonly service: string;
	/** Indexes of the stages whose results are inputs of this one. */
	readonly after: readonly number[];
	/** Approximate size of one result, in bytes. */
	readonly resultBytes: number;
}

/** A service and its weight among the services of a route. */
export interface WeightedService {
	readonly service: string;
	readonly weight: number;
}

/** Services and limits for requests of one host and path prefix. */
export interface Route {
	readonly name: string;
	readonly host: string;
	/** Starts and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	/** Maximum duration of a request. */
	readonly timeoutMs: Ms;
	/** Latency objective of the response, or of the first event of a stream. */
	readonly objectiveMs: Ms;
	/** Longest pause between events of a stream for which its response is on time; `undefined` without such an objective. */
	readonly pauseObjectiveMs: Ms | undefined;
	/** Priority class; 0 is the highest. */
	readonly priority: number;
	readonly services: readonly WeightedService[];
	/** Maximum number of targets to which one request may be sent. */
	readonly maxAttempts: number;
	readonly stages: readonly RouteStage[];
	/** True if no team key is required. */
	readonly isPublic: boolean;
	/** True if a stream can resume after its last delivered event. */
	readonly isResumable: boolean;
	/** Regions in which requests may be served, cached and stored; absent or empty if in any. */
	readonly allowedRegions?: readonly string[] | undefined;
}

/** Limits of one target of a stage pool. */
export interface StagePoolLimits {
	/** Maximum number of concurrent calls. */
	readonly slots: number;
	/** Maximum number of calls that wait for a slot. */
	readonly queue: number;
	/** Maximum number of pieces in one call. */
	readonly batch: number;
	/** Fixed part of the duration of a call. */
	readonly callMs: Ms;
	/** Approximate duration that each piece adds to a call. */
	readonly pieceMs: Ms;
	/** Memory for stage results, in MB. */
	readonly resultMemoryMb: number;
	/** Time for which a stage result is kept after its call. */
	readonly resultTtlMs: Ms;
}

/** Bound on the requests to a target that has started a short time ago. */
export interface ColdStart {
	/** Time for which a target stays cold after its start. */
	readonly durationMs: Ms;
	/** Requests per second that a cold target tolerates from all entry VMs together. */
	readonly perSecond: number;
}

/** A group of equivalent targets. */
export interface ServiceDeclaration {
	readonly name: string;
	/** Maximum number of connections that one target accepts in total. */
	readonly maxConnections: number;
	/** Limits of the stage pool; `undefined` for services that run no stages. */
	readonly stagePool: StagePoolLimits | undefined;
	/** Maximum number of concurrent requests of one model engine; `undefined` for other services. */
	readonly engineSlots: number | undefined;
	/** Tokens that the running requests and cached prompt parts of one model engine may take; `undefined` for other services. */
	readonly engineMemoryTokens?: number | undefined;
	/** Path at which a target tells whether it is cold; `undefined` if the service declares none. */
	readonly healthPath?: string | undefined;
	/** Bound on requests to cold targets; `undefined` if targets are never cold. */
	readonly coldStart?: ColdStart | undefined;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: Ms;
	readonly idleTimeoutMs: Ms;
}

/** A team and its API keys. */
export interface TeamDeclaration {
	readonly name: string;
	readonly keys: readonly string[];
	/** Overrides the priority of the route if present. */
	readonly priority: number | undefined;
	/** Regions in which requests of the team may be served, cached and stored; absent or empty if in any. */
	readonly allowedRegions?: readonly string[] | undefined;
}

/** One complete version of the relay configuration. */
export interface RelayDeclarations {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, ServiceDeclaration>;
	readonly limits: CallerLimits;
	/** Empty if requests carry no team keys. */
	readonly teams: readonly TeamDeclaration[];
}
