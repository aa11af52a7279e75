/**
 * Tracks in which history of its log a store answers. The store counts its histories: an era begins each time it comes
 * back from an older copy of itself, without what it had acknowledged since. A position such as an offset or a sequence
 * number means something only in the era in which the store has named it.
 *
 * @example
 * const sentIn = eras.current;
 * const era = eras.accept(headerOf(response), sentIn);
 */
export class EraTracker {
	static create(): EraTracker {
		return new EraTracker();
	}

	readonly #listeners: Array<(era: number, before: number) => void> = [];
	#current: number | undefined;

	private constructor() {}

	/** Latest era that the store has named; `undefined` before the first. */
	get current(): number | undefined {
		return this.#current;
	}

	/** Calls `listener` with the new and the earlier era whenever the store has changed its history. */
	onChange(listener: (era: number, before: number) => void): void {
		this.#listeners.push(listener);
	}

	/**
	 * Takes the era of a response to a call that was sent when `sentIn` was current, and returns the era that its content
	 * belongs to: 0 while the store names none. Returns `late` for a response out of an earlier history that was overtaken.
	 */
	accept(era: number | undefined, sentIn: number | undefined): number | 'late' {
		const before = this.#current;
		if (era === undefined || era === before) {
			return before ?? 0;
		}

		// A lower era in response to a call sent since the last change can only come from another store.
		if (before !== undefined && era < before && sentIn !== before) {
			return 'late';
		}

		this.#current = era;
		if (before !== undefined) {
			for (const listener of this.#listeners) {
				listener(era, before);
			}
		}

		return era;
	}
}
