import type {Clock, Ms} from '../clock/index.js';
import type {ServiceCall, ServicePort, ServiceReply} from '../targets/index.js';

/** Interval between look-ups while the target may still be running a call whose connection was lost. */
const pollIntervalMs: Ms = 100;
/** Fraction of the remaining time that is reserved for looking up an unanswered call. */
const reserveFraction = 0.25;
/** Maximum time reserved for the look-up. */
const maxReserveMs: Ms = 500;

/**
 * Time before the deadline at which an unanswered call is aborted, so that its reply can be looked up.
 *
 * @internal
 */
export function lookUpReserveMs(remainingMs: Ms): Ms {
	return Math.min(maxReserveMs, remainingMs * reserveFraction);
}

/**
 * Polls the target for the stored reply to a call that was sent but not answered. Returns `undefined` when a look-up
 * fails, when the signal aborts, or when the stored reply belongs to another call: callers choose the keys themselves,
 * so the reply under a key may be another team's.
 *
 * @internal
 */
export async function lookUpReply(options: {clock: Clock; service: ServicePort; call: ServiceCall & {idempotencyKey: string}; signal: AbortSignal}): Promise<ServiceReply | undefined> {
	const {clock, service, call, signal} = options;
	while (!signal.aborted) {
		let reply: ServiceReply | undefined;
		try {
			reply = await service.lookup(call.idempotencyKey, signal);
		} catch {
			return undefined;
		}

		if (reply) {
			const matchesCall = reply.requestId === call.requestId && reply.stage === call.stage && reply.attempt === call.attempt;
			return matchesCall ? reply : undefined;
		}

		await clock.sleep(pollIntervalMs, signal);
	}

	return undefined;
}
