/** Number of lists that are remembered: services with requests, each with and without targets that are left out for a while. */
const maxLists = 8;

/**
 * Remembers what follows from a list, for the lists that were asked for last. Lists are the same if they have the same
 * members in the same order: choices make a new list each time, while its members rarely change.
 *
 * @example
 * const ids = ListMemo.create((engines: readonly RelayTarget[]) => engines.map(({id}) => id).toSorted());
 * ids.of(engines);
 */
export class ListMemo<Member extends object, Result> {
	static create<Member extends object, Result>(derive: (list: readonly Member[]) => Result): ListMemo<Member, Result> {
		return new ListMemo(derive);
	}

	/** The one used last comes first. */
	readonly #known: Array<{readonly list: readonly Member[]; readonly result: Result}> = [];

	private constructor(private readonly derive: (list: readonly Member[]) => Result) {}

	/** Returns what follows from a list, which must not be changed afterwards. */
	of(list: readonly Member[]): Result {
		const index = this.#known.findIndex(known => isSame(known.list, list));
		const known = this.#known[index] ?? {list, result: this.derive(list)};
		if (index !== 0) {
			this.#known.splice(index === -1 ? maxLists - 1 : index, 1);
			this.#known.unshift(known);
		}

		return known.result;
	}
}

function isSame<Member>(a: readonly Member[], b: readonly Member[]): boolean {
	return a.length === b.length && a.every((member, index) => member === b[index]);
}
