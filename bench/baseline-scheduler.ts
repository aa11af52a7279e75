import type {Clock} from '../src/clock/index.js';
import type {Random} from '../src/random/index.js';
import type {Target, TargetRegistry} from '../src/targets/index.js';
import {
	AcquireError, preferUnfailed, type AdmissionDecision, type Grant, type Scheduler, type StageWork,
} from '../src/teams/index.js';

/** Selects a target among those that accept new calls. `undefined` queues the attempt. */
export type TargetSelector = (work: StageWork, targets: readonly Target[]) => Target | undefined;

type Waiter = {readonly work: StageWork; readonly resolve: (grant: Grant) => void};

/** Baseline scheduler: first come, first served in each pool, with a configurable target selection. Admits every request. */
export class BaselineScheduler implements Scheduler {
	readonly #waiting = new Map<string, Waiter[]>();

	constructor(private readonly clock: Clock, private readonly targets: TargetRegistry, private readonly selector: TargetSelector) {}

	admit(): AdmissionDecision {
		return {admitted: true, predictedMs: 0};
	}

	async acquire(work: StageWork, signal: AbortSignal): Promise<Grant> {
		const target = this.#selectTarget(work);
		return target ? this.#createGrant(target) : this.#enqueue(work, signal);
	}

	spendRetry(): boolean {
		return true;
	}

	#selectTarget(work: StageWork): Target | undefined {
		const available = this.targets.pool(work.stage.pool).filter(target => target.dispatchable);
		return this.selector(work, preferUnfailed(available, work.failedTargets, target => target.name));
	}

	#createGrant(target: Target): Grant {
		this.targets.callStarted(target.name);
		return {
			target,
			shareClass: 'within',
			revoked: new AbortController().signal,
			settle: result => {
				this.targets.callEnded(target.name, result.outcome);
				this.#grantWaiting(target.pool.name);
			},
		};
	}

	async #enqueue(work: StageWork, signal: AbortSignal): Promise<Grant> {
		const {pool} = work.stage;
		const queue = this.#waiting.get(pool) ?? [];
		this.#waiting.set(pool, queue);
		return new Promise((resolve, reject) => {
			const fail = (failure: 'deadline' | 'aborted') => {
				queue.splice(queue.indexOf(waiter), 1);
				cancelTimer();
				signal.removeEventListener('abort', onAbort);
				reject(AcquireError.create(failure, pool));
			};

			const onAbort = () => {
				fail('aborted');
			};

			const cancelTimer = this.clock.after(work.deadlineMs - this.clock.now(), () => {
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

	#grantWaiting(pool: string): void {
		const queue = this.#waiting.get(pool) ?? [];
		while (queue.length > 0) {
			const target = this.#selectTarget(queue[0]!.work);
			if (!target) {
				return;
			}

			queue.shift()!.resolve(this.#createGrant(target));
		}
	}
}

function hasFreeSlot(target: Target): boolean {
	return target.inFlight < target.declaration.slots;
}

/** Selects the target with the fewest calls in flight from this entry VM; ties are broken at random. */
export function leastInFlight(random: Random): TargetSelector {
	return (_work, targets) => {
		const free = targets.filter(target => hasFreeSlot(target));
		const least = Math.min(...free.map(target => target.inFlight));
		const best = free.filter(target => target.inFlight === least);
		return best.length > 0 ? random.pick(best) : undefined;
	};
}

/** Selects each target with a free slot in turn, from a random start. */
export function roundRobin(random: Random): TargetSelector {
	const next = new Map<string, number>();
	return (work, targets) => {
		const free = targets.filter(target => hasFreeSlot(target));
		if (free.length === 0) {
			return undefined;
		}

		const index = next.get(work.stage.pool) ?? random.integer(0, free.length - 1);
		next.set(work.stage.pool, index + 1);
		return free[index % free.length];
	};
}

/**
 * Selects a target by rendezvous hashing of the ids of the first two prompt segments, regardless of load. While that
 * target has no free slot, the attempt is queued.
 */
export function prefixAffinity(): TargetSelector {
	return (work, targets) => {
		const prefix = work.prompt.slice(0, 2).map(segment => segment.id).join(' ');
		const ranked = targets.map(target => ({target, rank: hash(`${prefix} ${target.name}`)})).sort((left, right) => right.rank - left.rank);
		const best = ranked[0]?.target;
		return best && hasFreeSlot(best) ? best : undefined;
	};
}

/** Hashes a text with 32-bit FNV-1a and a final mixing step. */
function hash(text: string): number {
	let value = 2_166_136_261;
	for (const character of text) {
		value = Math.imul(value ^ character.codePointAt(0)!, 16_777_619) >>> 0;
	}

	return Math.imul(value ^ (value >>> 15), 2_246_822_507) >>> 0;
}
