import type {Clock, Ms} from '../clock/index.js';

/**
 * Lets asynchronous code wait for the next change of a key.
 *
 * @internal
 */
export class Waiters {
	static create(clock: Clock): Waiters {
		return new Waiters(clock);
	}

	readonly #byKey = new Map<string, Set<AbortController>>();

	private constructor(private readonly clock: Clock) {}

	/** Resolves at the next change of the key, or at the deadline (monotonic). */
	async wait(key: string, deadlineMs: Ms): Promise<void> {
		const woken = new AbortController();
		const waiting = this.#byKey.get(key) ?? new Set();
		this.#byKey.set(key, waiting.add(woken));
		await this.clock.sleep(Math.max(0, deadlineMs - this.clock.now()), woken.signal);
		waiting.delete(woken);
		if (waiting.size === 0 && this.#byKey.get(key) === waiting) {
			this.#byKey.delete(key);
		}
	}

	wake(key: string): void {
		for (const woken of this.#byKey.get(key) ?? []) {
			woken.abort();
		}
	}

	wakeAll(): void {
		for (const key of this.#byKey.keys()) {
			this.wake(key);
		}
	}
}
