import type {Ms} from '../clock/index.js';
import {isRequestId} from './request-id.js';

/** Minimum weight of the evidence of a crash against one and the same request: its repeats share more with each other than a part of their prompts. */
const repeatedRequestWeight = 0.75;

/** Time from the sending of a request until its target crashed, and what this entry VM knows by its own clock of the incarnation that crashed. */
export interface CrashSpan {
	readonly sentMs: Ms;
	readonly crashedMs: Ms;
	/** Latest time before the request was sent at which the target is known to have been running; `undefined` unless this entry VM sent the request. */
	readonly aliveMs?: Ms | undefined;
	/** Time by which the incarnation had ended: when its address refused a connection, or the evidence arrived, which is sent only after that. */
	readonly goneMs?: Ms | undefined;
}

/** Evidence that one of a set of prompt parts, or a whole request, crashes targets: it was in progress at each of the crashes. */
export interface Suspicion extends CrashSpan {
	/** Ids of prompt parts, and that of the request if all of the evidence is against the same one; sorted. */
	readonly parts: readonly string[];
	/** Weight of the evidence of each crash, by the incarnation of the target that crashed. */
	readonly crashes: ReadonlyMap<string, number>;
	/** Spans of the single crashes, known only to the entry VM that combined the evidence; without them, each crash has the span of the whole. */
	readonly spans?: ReadonlyMap<string, CrashSpan> | undefined;
	/** Time at which the first of the requests was sent. */
	readonly sentMs: Ms;
	/** Time of the latest crash. */
	readonly crashedMs: Ms;
	/** Time since which requests with all of the parts are rejected; `undefined` while the evidence is not sufficient. */
	readonly quarantinedMs: Ms | undefined;
}

/** Returns a text that identifies a set of parts. */
export function partsKey(parts: readonly string[]): string {
	return parts.join(',');
}

/** Whether the evidence is against one and the same request. */
export function isAgainstRequest({parts}: Pick<Suspicion, 'parts'>): boolean {
	return parts.some(part => isRequestId(part));
}

/** Returns the total weight of the evidence. */
export function weightOf(suspicion: Pick<Suspicion, 'parts' | 'crashes'>): number {
	const minWeight = isAgainstRequest(suspicion) ? repeatedRequestWeight : 0;
	let sum = 0;
	for (const weight of suspicion.crashes.values()) {
		sum += Math.max(weight, minWeight);
	}

	return sum;
}
