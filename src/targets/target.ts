import type {Pool, TargetDeclaration} from '../config/declarations.js';
import type {EnginePort, TargetLoad} from './engine-port.js';
import type {ServicePort} from './service-port.js';

/** Lifecycle state of a target as observed by this entry VM. */
export type TargetState = 'unknown' | 'healthy' | 'suspect' | 'draining' | 'gone';

/** Read-only view of one target, for routing decisions. */
export interface TargetView {
	readonly name: string;
	readonly zone: string;
	readonly region: string;
	readonly pool: Pool;
	readonly declaration: TargetDeclaration;
	readonly state: TargetState;
	/** Last known start id; `undefined` until a reply or another source has reported one. */
	readonly startId: string | undefined;
	/** Number of calls in flight from this entry VM; exact, unlike `load`. */
	readonly inFlight: number;
	/** Latest load report; `undefined` before the first. */
	readonly load: TargetLoad | undefined;
	/** True when new calls may be dispatched to the target. */
	readonly dispatchable: boolean;
}

/** Target with the client for its calls: `engine` or `service`, depending on the type of its pool. */
export interface Target extends TargetView {
	readonly engine: EnginePort | undefined;
	readonly service: ServicePort | undefined;
	/** Aborts when the target becomes suspect or gone; calls that are safe to repeat are then cancelled. */
	readonly suspectSignal: AbortSignal;
}

/** Registry of the targets known to this entry VM. */
export interface TargetRegistry {
	pool(name: string): readonly Target[];
	get(name: string): Target | undefined;
	/** Calls `listener` with the name of a pool when one of its targets is added, removed or changes state. */
	onChange(listener: (pool: string) => void): void;
	/** Marks a target as draining, unless `startId` is known to differ from its current start id; `source` names the origin of the report. */
	markDraining(name: string, startId: string, source: string): void;
	/** Records the start of a call to a target. */
	callStarted(name: string): void;
	/** Records the end of a call to a target and its result. */
	callEnded(name: string, result: 'ok' | 'failed' | 'lost' | 'cancelled'): void;
}
