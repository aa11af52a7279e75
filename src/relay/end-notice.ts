/**
 * Tells many at a time that the requests in progress are ended. An `AbortSignal` searches all of its listeners for each
 * one that is added.
 *
 * @example
 * const notice = EndNotice.create({onError: err => logger.error('Cannot end a request.', {error: errorMessage(err)})});
 * notice.add(onEnd);
 * notice.give();
 */
export class EndNotice {
	/** `onError` is called with what a listener throws; the other listeners are called in any case. */
	static create({onError}: {onError: (err: unknown) => void}): EndNotice {
		return new EndNotice(onError);
	}

	readonly #listeners = new Set<() => void>();
	#isGiven = false;

	private constructor(private readonly onError: (err: unknown) => void) {}

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
				try {
					listener();
				} catch (err) {
					this.onError(err);
				}
			}
		}
	}
}
