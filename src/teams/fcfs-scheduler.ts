import {setMaxListeners} from 'node:events';
import type {Clock} from '../clock/index.js';
import type {Target, TargetRegistry} from '../targets/index.js';
import {AcquireError} from './acquire-error.js';
import type {
	AdmissionDecision, Grant, Scheduler, StageWork,
} from './scheduler.js';
import {preferUnfailed} from './prefer-unfailed.js';

/** Shared by all grants, so the number of its listeners is not limited. */
const neverRevoked = new AbortController().signal;
setMaxListeners(0, neverRevoked);

type Waiter = {work: StageWork; resolve: (grant: Grant) => void};

/**
 * Baseline scheduler: admits every request, serves each pool first come, first served, and chooses the target with the
 * fewest calls in flight.
 *
 * @example
 * const scheduler = FcfsScheduler.create({clock, targets});
 */
export class FcfsScheduler implements Scheduler {
	static create(options: {clock: Clock; targets: TargetRegistry}): FcfsScheduler {
		const scheduler = new FcfsScheduler(options.clock, options.targets);
		// Without this, attempts queued while every target is suspect would wait until their deadline.
		options.targets.onChange(pool => {
			scheduler.#dispatch(pool);
		});
		return scheduler;
	}

	readonly #waiting = new Map<string, Waiter[]>();

	private constructor(private readonly clock: Clock, private readonly targets: TargetRegistry) {}

	admit(): AdmissionDecision {
		return {admitted: true, predictedMs: 0};
	}

	async acquire(work: StageWork, signal: AbortSignal): Promise<Grant> {
		const {pool} = work.stage;
		if (this.targets.pool(pool).length === 0) {
			throw AcquireError.create('no_target', pool);
		}

		const target = this.#choose(work);
		return target ? this.#grant(target) : this.#wait(work, signal);
	}

	spendRetry(): boolean {
		return true;
	}

	#choose(work: StageWork): Target | undefined {
		const free = this.targets.pool(work.stage.pool)
			.filter(target => target.dispatchable && target.inFlight < target.declaration.slots);
		const candidates = preferUnfailed(free, work.failedTargets, target => target.name);
		return candidates.reduce<Target | undefined>((best, target) => best && best.inFlight <= target.inFlight ? best : target, undefined);
	}

	#grant(target: Target): Grant {
		this.targets.callStarted(target.name);
		return {
			target,
			shareClass: 'within',
			revoked: neverRevoked,
			settle: result => {
				this.targets.callEnded(target.name, result.outcome);
				this.#dispatch(target.pool.name);
			},
		};
	}

	async #wait(work: StageWork, signal: AbortSignal): Promise<Grant> {
		const {pool} = work.stage;
		if (signal.aborted) {
			throw AcquireError.create('aborted', pool);
		}

		const queue = this.#waiting.get(pool) ?? [];
		this.#waiting.set(pool, queue);
		return new Promise((resolve, reject) => {
			const fail = (failure: 'deadline' | 'aborted') => {
				queue.splice(queue.indexOf(waiter), 1);
				cancelTimer();
				reject(AcquireError.create(failure, pool));
			};

			const onAbort = () => {
				fail('aborted');
			};

			const cancelTimer = this.clock.after(work.deadlineMs - this.clock.now(), () => {
				signal.removeEventListener('abort', onAbort);
				fail('deadline');
			});
			const waiter: Waiter = {
				work,
				resolve(grant) {
					cancelTimer();
					signal.removeEventListener('abort', onAbort);
					resolve(grant);
				},
			};
			signal.addEventListener('abort', onAbort, {once: true});
			queue.push(waiter);
		});
	}

	#dispatch(pool: string): void {
		const queue = this.#waiting.get(pool) ?? [];
		while (queue.length > 0) {
			const target = this.#choose(queue[0]!.work);
			if (!target) {
				return;
			}

			queue.shift()!.resolve(this.#grant(target));
		}
	}
}
