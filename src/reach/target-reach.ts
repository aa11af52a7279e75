import type {Ms} from '../clock/index.js';

/** Number of targets that have to fail until the entry VM may be cut off. */
const minFailedTargets = 2;
/** Time for which a response over a new connection shows that targets can be reached. */
const freshMs: Ms = 500;
/** Time for which a failed connection counts while targets respond over open ones. */
const failureMs: Ms = 5000;

/**
 * How a target failed: no new connection to it could be made, or it did not respond over one; or something failed that a
 * response of any target excuses, such as a connection that was open already.
 */
export type TargetFailure = 'connection' | 'response';

/**
 * What attempts and probes tell of whether any target can be reached. Open connections may live on while new ones are
 * refused: a response over an open one says nothing of new ones.
 *
 * @example
 * reach.recordFailed('engine-1', 'connection', clock.now());
 * if (reach.isSuspicious) { … }
 */
export class TargetReach {
	static create(): TargetReach {
		return new TargetReach();
	}

	/** Latest failure of each target, since a response that ends it. */
	readonly #failed = new Map<string, {readonly failure: TargetFailure; readonly atMs: Ms}>();
	#connectedMs: Ms = -Infinity;

	private constructor() {}

	/** Whether several targets have failed, and nothing has shown since that any can be reached. */
	get isSuspicious(): boolean {
		return this.#failed.size >= minFailedTargets;
	}

	/** Targets that have failed since. */
	get failed(): readonly string[] {
		return [...this.#failed.keys()];
	}

	/** Time of the first failure that counts; `Infinity` without one. */
	get failedMs(): Ms {
		return Math.min(Infinity, ...[...this.#failed.values()].map(({atMs}) => atMs));
	}

	/** Whether a target has responded over a new connection just now. */
	isFresh(now: Ms): boolean {
		return this.#failed.size === 0 && now - this.#connectedMs <= freshMs;
	}

	/** Records a response of a target, whatever it says, over a connection that was begun at a time; `-Infinity` if that is not known. */
	recordReached(begunMs: Ms, now: Ms): void {
		this.#connectedMs = Math.max(this.#connectedMs, begunMs);
		this.#forget(({failure, atMs}) => failure === 'response' || atMs <= begunMs || now - atMs > failureMs);
	}

	/** Records that a target could not be reached, or did not respond. */
	recordFailed(target: string, failure: TargetFailure, now: Ms): void {
		const isConnection = failure === 'connection' || this.#failed.get(target)?.failure === 'connection';
		this.#failed.set(target, {failure: isConnection ? 'connection' : 'response', atMs: now});
	}

	#forget(isOver: (failed: {readonly failure: TargetFailure; readonly atMs: Ms}) => boolean): void {
		for (const [target, failed] of this.#failed) {
			if (isOver(failed)) {
				this.#failed.delete(target);
			}
		}
	}
}
