import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {EventRecorder} from '../events/index.js';
import {
	estimateService, type Prefix, type PrefixIndex, type RouteCandidate, type Router, type ServiceEstimate,
} from '../routing/index.js';
import type {ShareClass, Target, TargetRegistry} from '../targets/index.js';
import {AcquireError} from './acquire-error.js';
import type {PoolLoad} from './admission.js';
import {FairQueue} from './fair-queue.js';
import type {PoolSummary, PoolTargets} from './pool-targets.js';
import type {RetryBudget} from './retry-budget.js';
import type {
	AcquireFailure, AttemptResult, Grant, StageWork,
} from './scheduler.js';
import type {ServiceTimes} from './service-times.js';
import type {TeamShares} from './team-shares.js';

/** Waiting attempts of one team. A longer queue could not be served within any usual deadline. */
const maxQueuedPerTeam = 1000;
/** Targets become free by events that are not reported here (digests, health), so waiting attempts look again. */
const pollMs: Ms = 20;
/** Time before the latest start in which a slot is taken back; it covers a poll and the end of the revoked call. */
const lastChanceMs: Ms = 2 * pollMs;
/** Heads that may decline the targets on offer before the search ends; it bounds the time of a decision. */
const maxRefusals = 4;
/** Attempts after this one are not revoked, so that a request above its share still ends. */
const maxRevocableAttempt = 3;
/** Weight of the newest call in the mean service time. */
const smoothing = 0.1;

/** An attempt with its estimates. */
export interface Candidacy {
	readonly work: StageWork;
	readonly weight: number;
	readonly prefixes: readonly Prefix[];
	/** Estimated service time before a target is chosen. */
	readonly serviceMs: Ms;
	/** Least time that the later stages need. */
	readonly laterMs: Ms;
}

type Waiter = Candidacy & {isUrgent: boolean; readonly end: (result: Grant | AcquireFailure) => void};
type Call = {
	readonly work: StageWork; readonly target: Target; readonly estimate: ServiceEstimate; readonly expectedMs: Ms; readonly sentAt: Ms; readonly revoked: AbortController;
};

/** Parts that the queues of all pools share. */
export interface PoolQueueParts {
	readonly clock: Clock;
	readonly registry: TargetRegistry;
	readonly zone: string;
	readonly targets: PoolTargets;
	readonly router: Router;
	readonly index: PrefixIndex;
	readonly times: ServiceTimes;
	readonly retries: RetryBudget;
	/** Other entry VMs with work in a pool, as of their latest digests. */
	readonly contenders: (pool: string) => number;
	/** Brings what is known of other entry VMs up to date. */
	readonly refresh: () => void;
	readonly events?: EventRecorder;
}

/**
 * Queue in front of one pool: grants targets in fair order and takes slots back from teams above their share.
 *
 * @internal
 */
export class PoolQueue {
	static create(pool: string, shares: TeamShares, parts: PoolQueueParts): PoolQueue {
		return new PoolQueue(pool, shares, parts);
	}

	readonly #queue = FairQueue.create<Waiter>({capacityPerTeam: maxQueuedPerTeam});
	readonly #waiters = new Set<Waiter>();
	readonly #urgent = new Set<Waiter>();
	/** Calls in flight, the oldest first. */
	readonly #calls = new Set<Call>();
	#meanServiceMs: Ms = 0;
	#cancelPoll: CancelTimer | undefined;

	private constructor(private readonly pool: string, readonly shares: TeamShares, private readonly parts: PoolQueueParts) {}

	/** Load of the pool for admission control; `undefined` when no target may receive work. */
	load(serviceMs: Ms): PoolLoad | undefined {
		const summary = this.#summary();
		return summary.candidates.length === 0
			? undefined
			: {
				slots: summary.slots, freeSlots: summary.freeSlots, meanServiceMs: this.#meanServiceMs || serviceMs, nextSlotMs: this.#nextSlotMs(summary),
			};
	}

	/** Waits for a target. */
	async acquire(candidacy: Candidacy, signal: AbortSignal): Promise<Grant> {
		return new Promise((resolve, reject) => {
			const onAbort = () => {
				this.#reject(waiter, 'aborted');
			};

			const waiter: Waiter = {
				...candidacy,
				isUrgent: false,
				end: result => {
					signal.removeEventListener('abort', onAbort);
					if (typeof result === 'string') {
						reject(AcquireError.create(result, this.pool));
					} else {
						resolve(result);
					}
				},
			};
			const failure = this.#enqueue(waiter, signal);
			if (failure) {
				reject(AcquireError.create(failure, this.pool));
				return;
			}

			signal.addEventListener('abort', onAbort, {once: true});
			this.pump();
			if (this.#waiters.has(waiter)) {
				this.#revokeFor(waiter);
				this.#schedulePoll();
			}
		});
	}

	/** Grants targets to waiting attempts while any may be sent. */
	pump(): void {
		this.parts.refresh();
		const refused = new Set<string>();
		while (this.#queue.size > 0 && refused.size < maxRefusals) {
			const summary = this.#summary();
			const next = this.#next(summary, refused);
			if (!next) {
				return;
			}

			const target = this.#route(next, summary);
			if (target) {
				this.#grant(next, target, summary);
			} else {
				refused.add(next.work.team);
			}
		}
	}

	/** Calls in flight by target. */
	callsByTarget(): Map<string, number> {
		const calls = new Map<string, number>();
		for (const {target} of this.#calls) {
			calls.set(target.name, (calls.get(target.name) ?? 0) + 1);
		}

		return calls;
	}

	#summary(): PoolSummary {
		const {clock, targets, contenders} = this.parts;
		return targets.summary(this.pool, {now: clock.now(), part: this.shares.part(contenders(this.pool))});
	}

	#enqueue(waiter: Waiter, signal: AbortSignal): AcquireFailure | undefined {
		const {work, weight, serviceMs} = waiter;
		if (this.parts.registry.pool(this.pool).length === 0) {
			return 'no_target';
		}

		if (signal.aborted) {
			return 'aborted';
		}

		const {low, mean} = this.parts.times.of(this.pool);
		if (this.parts.clock.now() > work.deadlineMs - waiter.laterMs - (serviceMs * low / mean)) {
			return 'deadline';
		}

		if (!this.#queue.push(work.team, waiter, {weight, order: work.deadlineMs})) {
			return 'overloaded';
		}

		this.#waiters.add(waiter);
		this.shares.queued(work.team, serviceMs);
		return undefined;
	}

	/**
	 * Time after which an attempt would probably be late. An attempt waits only while others want the slot, which it
	 * would then take from one that can still be in time.
	 */
	#latestStart(waiter: Candidacy): Ms {
		return waiter.work.deadlineMs - waiter.laterMs - waiter.serviceMs;
	}

	/** The next attempt in fair order that a target could take: any one while a target is free, else one within its team's share. */
	#next(summary: PoolSummary, refused: ReadonlySet<string>): Waiter | undefined {
		const isEligible = (team: string) => !refused.has(team) && (summary.freeSlots > 0 || this.shares.classify(team, summary.slots) === 'within');
		for (const waiter of this.#urgent) {
			if (isEligible(waiter.work.team)) {
				return waiter;
			}
		}

		return this.#queue.next(isEligible)?.item;
	}

	#route(waiter: Waiter, summary: PoolSummary): Target | undefined {
		const {clock, times, router} = this.parts;
		const {work} = waiter;
		return router.choose({
			work,
			prefixes: waiter.prefixes,
			now: clock.now(),
			waitMs: this.#nextSlotMs(summary),
			correction: times.of(this.pool).mean,
			laterMs: waiter.laterMs,
		}, this.#offer(work, summary));
	}

	/**
	 * Candidates for an attempt: not the target of the attempt before while another exists. Within its share, an attempt
	 * may go to a target of the zone that others have filled; the target then serves it first among its waiting calls.
	 */
	#offer(work: StageWork, summary: PoolSummary): readonly RouteCandidate[] {
		const others = work.previousTarget === undefined ? summary.candidates : summary.candidates.filter(({target}) => target.name !== work.previousTarget);
		const candidates = others.length > 0 ? others : summary.candidates;
		if (candidates.some(({isFree}) => isFree) || this.shares.classify(work.team, summary.slots) === 'above') {
			return candidates;
		}

		return candidates.map(candidate => ({
			...candidate, isFree: candidate.target.zone === this.parts.zone && candidate.target.inFlight < candidate.limit,
		}));
	}

	#grant(waiter: Waiter, target: Target, summary: PoolSummary): void {
		const {clock, index, registry, times, targets} = this.parts;
		const {work, prefixes} = waiter;
		const isEngine = target.pool.type === 'engine';
		const {limit} = targets.speed(target);
		const estimate = estimateService(target.pool, work.stage, {
			uncachedTokens: isEngine ? index.uncachedTokens(target.name, prefixes) : 0, maxTokens: work.maxTokens, batch: limit,
		});
		const call: Call = {
			work, target, estimate, expectedMs: estimate.serviceMs * times.of(this.pool).mean, sentAt: clock.now(), revoked: new AbortController(),
		};
		const shareClass = this.shares.classify(work.team, summary.slots);
		this.#queue.take(work.team, waiter, estimate.workMs);
		this.#dequeued(waiter);
		this.shares.started(work.team, call.expectedMs);
		this.#calls.add(call);
		registry.callStarted(target.name);
		if (isEngine) {
			index.dispatched(target, prefixes);
		}

		waiter.end(this.#grantOf(call, shareClass));
	}

	#grantOf(call: Call, shareClass: ShareClass): Grant {
		return {
			target: call.target,
			shareClass,
			revoked: call.revoked.signal,
			settle: result => {
				if (this.#calls.delete(call)) {
					this.#settle(call, result);
				}
			},
		};
	}

	#settle(call: Call, result: AttemptResult): void {
		const {clock, registry, targets, times, retries} = this.parts;
		const {team} = call.work;
		registry.callEnded(call.target.name, result.outcome);
		this.shares.ended(team, call.expectedMs);
		this.#queue.settle(team, call.estimate.workMs * ((result.serviceMs / Math.max(1, call.estimate.serviceMs)) - 1));
		const speed = targets.speed(call.target);
		if (result.outcome === 'ok') {
			this.#meanServiceMs += (result.serviceMs - this.#meanServiceMs) * (this.#meanServiceMs === 0 ? 1 : smoothing);
			speed.succeeded(clock.now(), {expectedMs: call.expectedMs, measuredMs: result.serviceMs});
			times.add(this.pool, {estimatedMs: call.estimate.serviceMs, measuredMs: result.serviceMs});
			retries.earn(team, this.pool);
		} else if (result.outcome !== 'cancelled') {
			speed.failed(clock.now(), result.serviceMs);
		}

		this.pump();
	}

	/** Predicted time until a slot is free: the rest of the oldest call, or the mean gap between two ends. */
	#nextSlotMs(summary: PoolSummary): Ms {
		const [oldest] = this.#calls;
		const restMs = oldest ? oldest.sentAt + oldest.expectedMs - this.parts.clock.now() : 0;
		return Math.max(restMs, this.#meanServiceMs / Math.max(1, summary.slots));
	}

	#schedulePoll(): void {
		this.#cancelPoll ??= this.parts.clock.after(pollMs, () => {
			this.#cancelPoll = undefined;
			this.#poll();
		});
	}

	#poll(): void {
		const now = this.parts.clock.now();
		for (const waiter of this.#waiters) {
			if (now > this.#latestStart(waiter)) {
				this.#reject(waiter, 'deadline');
			}
		}

		this.pump();
		for (const {item} of this.#queue.heads()) {
			this.#revokeFor(item);
		}

		if (this.#waiters.size > 0) {
			this.#schedulePoll();
		}
	}

	/** Takes a slot from a team above its share when an attempt within its team's share would miss its deadline by waiting. */
	#revokeFor(waiter: Waiter): void {
		const {clock, events} = this.parts;
		const summary = this.#summary();
		// A call can take longer than predicted, so the last chance to revoke is taken in any case.
		const waitMs = Math.max(this.#nextSlotMs(summary), lastChanceMs);
		const meetsDeadline = clock.now() + waitMs <= this.#latestStart(waiter);
		if (waiter.isUrgent || meetsDeadline || this.shares.classify(waiter.work.team, summary.slots) === 'above') {
			return;
		}

		const call = this.#newestAboveShare(waiter, summary);
		if (!call) {
			return;
		}

		waiter.isUrgent = true;
		this.#urgent.add(waiter);
		events?.record({
			kind: 'attempt_cancelled', requestId: call.work.requestId, team: call.work.team, stage: call.work.stage.name, attempt: call.work.attempt, target: call.target.name, detail: `revoked for team ${waiter.work.team}`,
		});
		call.revoked.abort();
	}

	/** The newest call has done the least work, so taking its slot wastes least. */
	#newestAboveShare(waiter: Waiter, summary: PoolSummary): Call | undefined {
		let newest: Call | undefined;
		for (const call of this.#calls) {
			const {team, idempotent, stage, attempt} = call.work;
			const isRevocable = (idempotent ?? stage.idempotent) && attempt <= maxRevocableAttempt && !call.revoked.signal.aborted && call.target.name !== waiter.work.previousTarget;
			if (isRevocable && team !== waiter.work.team && this.shares.calls(team) > this.shares.allotment(team, summary.slots)) {
				newest = call;
			}
		}

		return newest;
	}

	#reject(waiter: Waiter, failure: AcquireFailure): void {
		if (this.#queue.remove(waiter.work.team, waiter)) {
			this.#dequeued(waiter);
			waiter.end(failure);
		}
	}

	#dequeued(waiter: Waiter): void {
		this.#waiters.delete(waiter);
		this.#urgent.delete(waiter);
		this.shares.queued(waiter.work.team, -waiter.serviceMs);
	}
}
