/**
 * Tells many at a time that the requests in progress are ended. An `AbortSignal` searches all of its listeners for each
 * one that is added.
 *
 * @example
 * notice.add(onEnd);
 * notice.give();
 */
export class EndNotice {
	static create(): EndNotice {
		return new EndNotice();
	}

	readonly #listeners = new Set<() => void>();
	#isGiven = false;

	private constructor() {}

	get isGiven(): boolean {
		return this.#isGiven;
	}

	add(listener: () => void): void {
		this.#listeners.add(listener);
	}

	remove(listener: () => void): void {
		this.#listeners.delete(listener);
	}

	/** Calls the listeners, once. */
	give(): void {
		if (!this.#isGiven) {
			this.#isGiven = true;
			for (const listener of this.#listeners) {
				listener();
			}
		}
	}
}
