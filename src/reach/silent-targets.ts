import type {Ms} from '../clock/index.js';

/** Number of targets that have to be silent at once. */
const minSilentTargets = 2;
/** Time without a response beyond the expected one, and without a response of any target, from which targets count as silent. */
const silenceMs: Ms = 300;
/** Time between two suspicions, which bounds the probes of an entry VM whose targets just take long. */
const suspicionIntervalMs: Ms = 2000;

/** An attempt at a target that has not responded yet. */
type Wait = {readonly target: string; readonly expectedMs: Ms};

/**
 * Finds targets that are silent together: none of several has responded to its requests in time, and no other target has
 * responded meanwhile. A partition in which packets are lost shows that way before any attempt fails, while the requests
 * that go on arriving wait at targets that never get them.
 *
 * @example
 * const wait = silent.begin('engine-1', now + 60);
 * const dueMs = silent.nextSuspicionMs();
 * silent.end(wait);
 */
export class SilentTargets {
	static create(): SilentTargets {
		return new SilentTargets();
	}

	readonly #waits = new Set<Wait>();
	#reachedMs: Ms = -Infinity;
	#suspectedMs: Ms = -Infinity;

	private constructor() {}

	/** Records an attempt at a target, whose response is expected by `expectedMs`; returns it for `end`. */
	begin(target: string, expectedMs: Ms): object {
		const wait = {target, expectedMs};
		this.#waits.add(wait);
		return wait;
	}

	/** Targets that are waited for. */
	get targets(): ReadonlySet<string> {
		return new Set([...this.#waits].map(({target}) => target));
	}

	/** Ends an attempt, whatever its outcome. */
	end(wait: object): void {
		this.#waits.delete(wait as Wait);
	}

	/** Records a response of any target, which ends the silence of all. */
	recordReached(now: Ms): void {
		this.#reachedMs = now;
	}

	/** Records that the silence is acted on. */
	recordSuspicion(now: Ms): void {
		this.#suspectedMs = now;
	}

	/** Returns the time at which the targets that are waited for count as silent, unless one responds; `undefined` if they are too few. */
	nextSuspicionMs(): Ms | undefined {
		const expectedMs = new Map<string, Ms>();
		for (const wait of this.#waits) {
			expectedMs.set(wait.target, Math.min(wait.expectedMs, expectedMs.get(wait.target) ?? Infinity));
		}

		const lastMs = [...expectedMs.values()].toSorted((a, b) => a - b)[minSilentTargets - 1];
		return lastMs === undefined ? undefined : Math.max(Math.max(lastMs, this.#reachedMs) + silenceMs, this.#suspectedMs + suspicionIntervalMs);
	}
}
