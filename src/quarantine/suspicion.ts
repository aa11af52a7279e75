import type {Ms} from '../clock/index.js';

/** Evidence that one of a set of prompt parts crashes targets: it was in progress at each of the crashes. */
export interface Suspicion {
	/** Ids of prompt parts, sorted. */
	readonly parts: readonly string[];
	/** Weight of the evidence of each crash, by the incarnation of the target that crashed. */
	readonly crashes: ReadonlyMap<string, number>;
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

/** Returns the total weight of the evidence. */
export function weightOf({crashes}: Pick<Suspicion, 'crashes'>): number {
	let sum = 0;
	for (const weight of crashes.values()) {
		sum += weight;
	}

	return sum;
}
