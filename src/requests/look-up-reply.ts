import type {Clock, Ms} from '../clock/index.js';
import type {ServiceCall, ServicePort, ServiceReply} from '../targets/index.js';

/** A call may still be running at the target when its connection is lost. */
const pollMs: Ms = 100;
/** Part of the time budget kept for looking up a call that does not answer, and its limit. */
const reserveShare = 0.25;
const maxReserveMs: Ms = 500;

/**
 * Time before the deadline at which a call that can be looked up is given up.
 *
 * @internal
 */
export function lookUpReserveMs(remainingMs: Ms): Ms {
	return Math.min(maxReserveMs, remainingMs * reserveShare);
}

/**
 * Asks the target for the reply to a call that was sent and not answered. `undefined` when the target does not answer,
 * or has no reply to this very call: keys are the callers' own, so that another team's reply can stand under the key.
 *
 * @internal
 */
export async function lookUpReply(parts: {clock: Clock; service: ServicePort; call: ServiceCall & {idempotencyKey: string}; signal: AbortSignal}): Promise<ServiceReply | undefined> {
	const {clock, service, call, signal} = parts;
	while (!signal.aborted) {
		let reply: ServiceReply | undefined;
		try {
			reply = await service.lookup(call.idempotencyKey, signal);
		} catch {
			return undefined;
		}

		if (reply) {
			const isOwn = reply.requestId === call.requestId && reply.stage === call.stage && reply.attempt === call.attempt;
			return isOwn ? reply : undefined;
		}

		await clock.sleep(pollMs, signal);
	}

	return undefined;
}
