import {
	clockToleranceMs, nextStartSuffix, spanOf, startName,
} from './combine-suspicions.js';
import {isAgainstRequest, partsKey, type Suspicion} from './suspicion.js';

/**
 * Returns the evidence against prompt parts that quarantined sets (`causes`) do not explain; the suspicion itself if they
 * explain nothing. A sound part that many requests share is present at crashes of different causes. Once the causes are
 * known, these crashes are no evidence against it: those of other sets of parts do not count, also if the part is one of
 * them in a single set, and those of repeats of one request count as one. Evidence against a request stays: its rejection
 * costs no other request anything.
 *
 * @example
 * findUnexplained(suspicionOf(['shared'], ['e-1', 'e-2']), [suspicionOf(['deadly'], ['e-2', 'e-3'])]); // ['shared'] at 'e-1'
 */
export function findUnexplained(suspicion: Suspicion, causes: readonly Suspicion[]): Suspicion {
	if (isAgainstRequest(suspicion)) {
		return suspicion;
	}

	const crashes = new Map(suspicion.crashes);
	const others = causes.filter(({parts}) => partsKey(parts) !== partsKey(suspicion.parts));
	// Several sets with all parts of the suspicion point to what they share.
	const wider = others.filter(cause => !isAgainstRequest(cause) && suspicion.parts.every(part => cause.parts.includes(part)));
	for (const cause of others.filter(other => wider.length < 2 || !wider.includes(other))) {
		for (const crash of findExplained(crashes, suspicion, cause)) {
			crashes.delete(crash);
		}
	}

	return crashes.size === suspicion.crashes.size ? suspicion : {...suspicion, crashes};
}

function findExplained(crashes: ReadonlyMap<string, number>, suspicion: Suspicion, cause: Suspicion): readonly string[] {
	const shared = [...crashes.keys()].filter(crash => [...cause.crashes.keys()].some(other => isSameCrash([suspicion, crash], [cause, other])));
	return isAgainstRequest(cause) ? shared.toSorted((a, b) => crashes.get(b)! - crashes.get(a)!).slice(1) : shared;
}

/** Whether two suspicions name the same crash. Each of them numbers the starts of a target that have the same name by itself. */
function isSameCrash([a, crash]: readonly [Suspicion, string], [b, other]: readonly [Suspicion, string]): boolean {
	if (startName(crash) !== startName(other) || !hasOwnTime(a, crash) || !hasOwnTime(b, other)) {
		return false;
	}

	const [span, otherSpan] = [spanOf(a, crash), spanOf(b, other)];
	return Math.max(span.sentMs, otherSpan.sentMs) <= Math.min(span.crashedMs, otherSpan.crashedMs) + clockToleranceMs;
}

/** Whether a crash can be told by its time, or by its name alone, from those of other starts of its target. */
function hasOwnTime({crashes, spans}: Suspicion, crash: string): boolean {
	return spans?.has(crash) === true || !crashes.has(`${startName(crash)}${nextStartSuffix}`);
}
