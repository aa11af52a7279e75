import type {Clock} from '../clock/index.js';
import {
	TargetError, type ServiceCall, type ServicePort, type ServiceReply,
} from '../targets/index.js';
import {lookUpReply, lookUpReserveMs} from './look-up-reply.js';

/** Calls a service; throws `TargetError` when the reply answers another call. @internal */
export async function callService(service: ServicePort, call: ServiceCall, signal: AbortSignal): Promise<ServiceReply> {
	const reply = await service.call(call, signal);
	if (reply.requestId !== call.requestId || reply.stage !== call.stage || reply.attempt !== call.attempt) {
		throw TargetError.create('mismatch', `Cannot accept a reply: it answers ${reply.requestId}/${reply.stage}/${reply.attempt}`);
	}

	return reply;
}

/**
 * Calls a service that offers look-ups. Gives up the call in time to look it up on a fresh connection; throws the
 * call's error when nothing is found.
 *
 * @internal
 */
export async function callOrLookUp(parts: {clock: Clock; service: ServicePort; call: ServiceCall & {idempotencyKey: string}; signal: AbortSignal}): Promise<ServiceReply> {
	const {clock, service, call, signal} = parts;
	const givenUp = new AbortController();
	const cancel = clock.after(call.remainingMs - lookUpReserveMs(call.remainingMs), () => {
		givenUp.abort();
	});
	try {
		return await callService(service, call, AbortSignal.any([signal, givenUp.signal]));
	} catch (err) {
		const wasNotRun = err instanceof TargetError && (err.failure === 'not_sent' || err.failure === 'refused');
		const found = wasNotRun ? undefined : await lookUpReply(parts);
		if (!found) {
			throw err;
		}

		return found;
	} finally {
		cancel();
	}
}
