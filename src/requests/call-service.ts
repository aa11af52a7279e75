import type {Clock} from '../clock/index.js';
import {
	TargetError, type ServiceCall, type ServicePort, type ServiceReply,
} from '../targets/index.js';
import {lookUpReply, lookUpReserveMs} from './look-up-reply.js';

/** Calls a service; throws `TargetError` when the reply belongs to another call. @internal */
export async function callService(service: ServicePort, call: ServiceCall, signal: AbortSignal): Promise<ServiceReply> {
	const reply = await service.call(call, signal);
	if (reply.requestId !== call.requestId || reply.stage !== call.stage || reply.attempt !== call.attempt) {
		throw TargetError.create('mismatch', `Cannot accept a reply: it answers ${reply.requestId}/${reply.stage}/${reply.attempt}`);
	}

	return reply;
}

/**
 * Calls a service that supports look-ups. Aborts an unanswered call early enough to look up its reply on a new
 * connection; throws the call's error when no reply is found.
 *
 * @internal
 */
export async function callOrLookUp(options: {clock: Clock; service: ServicePort; call: ServiceCall & {idempotencyKey: string}; signal: AbortSignal}): Promise<ServiceReply> {
	const {clock, service, call, signal} = options;
	const timeout = new AbortController();
	const cancelTimeout = clock.after(call.remainingMs - lookUpReserveMs(call.remainingMs), () => {
		timeout.abort();
	});
	try {
		return await callService(service, call, AbortSignal.any([signal, timeout.signal]));
	} catch (err) {
		const wasNotRun = err instanceof TargetError && (err.failure === 'not_sent' || err.failure === 'refused');
		const found = wasNotRun ? undefined : await lookUpReply(options);
		if (!found) {
			throw err;
		}

		return found;
	} finally {
		cancelTimeout();
	}
}
