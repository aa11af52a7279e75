/**
 * Leaves out candidates that failed earlier attempts of a request: all of them, else only the latest, else none, so that
 * something is left to choose from. Avoiding the latest alone lets attempts alternate between two lost targets.
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
