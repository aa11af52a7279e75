/**
 * Excludes candidates that failed earlier attempts of a request. If none would remain, it excludes only the latest
 * failed one, and if still none would remain, it excludes none. Excluding only the latest in every case would let
 * attempts alternate between two lost targets.
 *
 * @example
 * preferUnfailed(targets, ['riga-1'], target => target.name);
 */
export function preferUnfailed<T>(candidates: readonly T[], failed: readonly string[], nameOf: (candidate: T) => string): readonly T[] {
	if (failed.length === 0) {
		return candidates;
	}

	const unfailed = candidates.filter(candidate => !failed.includes(nameOf(candidate)));
	if (unfailed.length > 0) {
		return unfailed;
	}

	const others = candidates.filter(candidate => nameOf(candidate) !== failed.at(-1));
	return others.length > 0 ? others : candidates;
}
