import type {Ms} from '../clock/index.js';
import type {ShareClass, TargetHealth, TargetLoad} from './engine-port.js';

/** Call to a service. `idempotencyKey` is set for non-idempotent calls that have a key. */
export interface ServiceCall {
	readonly requestId: string;
	readonly stage: string;
	readonly attempt: number;
	readonly team: string;
	readonly shareClass: ShareClass;
	readonly kind: string;
	readonly input: string;
	readonly idempotent: boolean;
	readonly idempotencyKey?: string;
	/** Remaining time budget in ms. */
	readonly remainingMs: Ms;
}

/** Reply of a service, with the ids of the call that it answers. */
export interface ServiceReply {
	readonly requestId: string;
	readonly stage: string;
	readonly attempt: number;
	readonly output: string;
}

/** Interface to one instance of a service. */
export interface ServicePort {
	call(call: ServiceCall, signal: AbortSignal): Promise<ServiceReply>;
	/** Returns the reply stored for an idempotency key, if the service supports lookups; `undefined` when no call with the key has completed. */
	lookup(key: string, signal?: AbortSignal): Promise<ServiceReply | undefined>;
	/** Opens new connections for later calls; calls in progress keep theirs. */
	renewConnections(): void;
	load(): Promise<TargetLoad>;
	health(): Promise<TargetHealth>;
}
