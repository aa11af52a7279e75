import type {Ms} from '../clock/index.js';

/** Number of probes without a response, one after the other, from which a target counts as out of reach: an overloaded one may miss a single one. */
const minSilentProbes = 2;
/** Time without a further failure after which what is known of a target is dropped. */
const memoryMs: Ms = 60_000;
/** Maximum number of targets that are kept. */
const maxTargets = 2000;

/** Sign that a target is out of reach: it refuses connections, or does not respond to a probe. */
export type ReachFailure = 'refused' | 'silent';

/**
 * Tells which targets cannot be reached from here, and which respond again after that: these may have restarted.
 *
 * @example
 * unreachable.recordFailed('e-1', 'refused', clock.now());
 * unreachable.recordReached('e-1'); // true: it responds again
 */
export class UnreachableTargets {
	static create(): UnreachableTargets {
		return new UnreachableTargets();
	}

	readonly #targets = new Map<string, {silentProbes: number; isOut: boolean; seenMs: Ms}>();

	private constructor() {}

	/** Number of targets out of reach. */
	get size(): number {
		return [...this.#targets.values()].filter(({isOut}) => isOut).length;
	}

	/** Whether a target is out of reach. */
	has(target: string): boolean {
		return this.#targets.get(target)?.isOut === true;
	}

	/** Records a failure; returns whether the target is out of reach with it and was not before. */
	recordFailed(target: string, failure: ReachFailure, now: Ms): boolean {
		this.#expire(now);
		const before = this.#targets.get(target);
		const silentProbes = (before?.silentProbes ?? 0) + 1;
		const isOut = before?.isOut === true || failure === 'refused' || silentProbes >= minSilentProbes;
		this.#targets.delete(target);
		this.#targets.set(target, {silentProbes, isOut, seenMs: now});
		return isOut && before?.isOut !== true;
	}

	/** Records a response; returns whether the target was out of reach until then. */
	recordReached(target: string): boolean {
		const wasOut = this.has(target);
		this.#targets.delete(target);
		return wasOut;
	}

	/** Forgets all targets. */
	clear(): void {
		this.#targets.clear();
	}

	/** Forgets targets that were not tried for long, or are too many; those are gone, or a new start of them is listed. */
	#expire(now: Ms): void {
		for (const [target, {seenMs}] of this.#targets) {
			if (now - seenMs < memoryMs && this.#targets.size < maxTargets) {
				break;
			}

			this.#targets.delete(target);
		}
	}
}
