import type {Clock, Ms} from '../clock/index.js';
import type {TargetEntry} from './relay-target.js';

/** Time for which a removed target is remembered; a store comes back from a copy that is some seconds old. */
const memoryMs: Ms = 600_000;

/** What is known of a target that was removed. */
export type GoneTarget = {readonly entry: TargetEntry; readonly isDraining: boolean};

/**
 * Remembers targets that were removed, so that an older copy of the list does not bring them back.
 *
 * @example
 * gone.add(target);
 * gone.get(target.id);
 */
export class GoneTargets {
	static create(clock: Clock): GoneTargets {
		return new GoneTargets(clock);
	}

	/** In the order in which they expire. */
	readonly #targets = new Map<string, GoneTarget & {readonly expiresMs: Ms}>();

	private constructor(private readonly clock: Clock) {}

	/** Returns the latest removed target with an id. */
	get(id: string): GoneTarget | undefined {
		this.#expire();
		return this.#targets.get(id);
	}

	/** Remembers a removed target, instead of an earlier one with its id. */
	add({entry, isDraining}: GoneTarget): void {
		this.#expire();
		this.#targets.delete(entry.id);
		this.#targets.set(entry.id, {entry, isDraining, expiresMs: this.clock.now() + memoryMs});
	}

	#expire(): void {
		const now = this.clock.now();
		for (const [id, {expiresMs}] of this.#targets) {
			if (expiresMs > now) {
				break;
			}

			this.#targets.delete(id);
		}
	}
}
