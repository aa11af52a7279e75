import type {Pool, TargetDeclaration} from '../config/declarations.js';
import type {EnginePort, TargetLoad} from './engine-port.js';
import type {ServicePort} from './service-port.js';

/** Lifecycle state of a target as this entry VM sees it. */
export type TargetState = 'unknown' | 'healthy' | 'suspect' | 'draining' | 'gone';

/** Read access to one target, for routing decisions. */
export interface TargetView {
	readonly name: string;
	readonly zone: string;
	readonly region: string;
	readonly pool: Pool;
	readonly declaration: TargetDeclaration;
	readonly state: TargetState;
	/** Start id last seen; `undefined` before the first contact. */
	readonly startId: string | undefined;
	/** Calls of this entry VM in progress. Exact. */
	readonly inFlight: number;
	/** Latest load report with its age; `undefined` before the first. */
	readonly load: TargetLoad | undefined;
	/** True when new work may be dispatched now. */
	readonly dispatchable: boolean;
}

/** A target with its port. */
export interface Target extends TargetView {
	readonly engine: EnginePort | undefined;
	readonly service: ServicePort | undefined;
	/** Aborts when the target becomes suspect or gone; calls that may be repeated are then given up. */
	readonly suspected: AbortSignal;
}

/** Targets known to this entry VM. */
export interface TargetRegistry {
	pool(name: string): readonly Target[];
	get(name: string): Target | undefined;
	/** Calls `listener` with the pool's name when a target of it appears, leaves or changes its state. */
	onChange(listener: (pool: string) => void): void;
	/** Marks a target as draining for its present start id; `source` names who said so. */
	markDraining(name: string, startId: string, source: string): void;
	/** Records that a call was sent or ended, for in-flight counts and health. */
	callStarted(name: string): void;
	callEnded(name: string, result: 'ok' | 'failed' | 'lost' | 'cancelled'): void;
}
