import type {Ms} from '../clock/index.js';
import type {ShareClass, TargetHealth, TargetLoad} from './engine-port.js';

/** A call to a service. `idempotencyKey` is given for non-idempotent calls with a key. */
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

/** Reply of a service, naming the call it answers. */
export interface ServiceReply {
	readonly requestId: string;
	readonly stage: string;
	readonly attempt: number;
	readonly output: string;
}

/** Port to one instance of a service. */
export interface ServicePort {
	call(call: ServiceCall, signal: AbortSignal): Promise<ServiceReply>;
	/** Answer stored for a key, where the service offers look-ups; `undefined` when the key never ran. */
	lookup(key: string): Promise<ServiceReply | undefined>;
	/** Uses fresh connections from now on; calls in progress keep theirs. */
	renew(): void;
	load(): Promise<TargetLoad>;
	health(): Promise<TargetHealth>;
}
