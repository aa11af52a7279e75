import type {ChangeVerdict} from './config-state.js';

/**
 * Verdicts of the latest changes by change id. The first verdict of an id is kept; the oldest ids are evicted beyond
 * `capacity`.
 *
 * @example
 * const verdicts = VerdictMap.create(4096);
 * verdicts.add({id: 'c1', verdict: 'accepted', revision: 7});
 */
export class VerdictMap {
	static create(capacity: number): VerdictMap {
		return new VerdictMap(capacity);
	}

	readonly #byId = new Map<string, ChangeVerdict>();

	private constructor(private readonly capacity: number) {}

	get size(): number {
		return this.#byId.size;
	}

	get(id: string): ChangeVerdict | undefined {
		return this.#byId.get(id);
	}

	/** Adds a verdict unless the id already has one. */
	add(verdict: ChangeVerdict): void {
		if (this.#byId.has(verdict.id)) {
			return;
		}

		this.#byId.set(verdict.id, verdict);
		if (this.#byId.size > this.capacity) {
			this.#byId.delete(this.#byId.keys().next().value!);
		}
	}

	/** Returns the latest `count` verdicts, oldest first. */
	latest(count: number): ChangeVerdict[] {
		return [...this.#byId.values()].slice(-count);
	}
}
