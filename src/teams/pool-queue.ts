import type {CancelTimer, Ms} from '../clock/index.js';
import {
	estimateServiceTime, type RouteCandidate,
} from '../routing/index.js';
import type {ShareClass, Target} from '../targets/index.js';
import {AcquireError} from './acquire-error.js';
import type {PoolLoad} from './admission.js';
import {CallsInFlight, type Call} from './calls-in-flight.js';
import {FairQueue} from './fair-queue.js';
import type {Candidacy, PoolQueueParts} from './pool-queue-parts.js';
import type {PoolSummary} from './pool-targets.js';
import type {
	AcquireFailure, AttemptResult, Grant, StageWork,
} from './scheduler.js';
import type {TeamShares} from './team-shares.js';
import {preferUnfailed} from './prefer-unfailed.js';

/** Waiting attempts of one team. A longer queue could not be served within any usual deadline. */
const maxQueuedPerTeam = 1000;
/** Targets become free by events that are not reported here (digests, health), so waiting attempts look again. */
const pollMs: Ms = 20;
/** Time before the latest start in which a slot is taken back; it covers a poll and the end of the revoked call. */
const lastChanceMs: Ms = 2 * pollMs;
/** Heads that may decline the targets on offer before the search ends; it bounds the time of a decision. */
const maxRefusals = 4;

type Waiter = Candidacy & {isUrgent: boolean; readonly end: (result: Grant | AcquireFailure) => void};

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
	readonly #calls = CallsInFlight.create();
	#cancelPoll: CancelTimer | undefined;

	private constructor(private readonly pool: string, readonly shares: TeamShares, private readonly parts: PoolQueueParts) {}

	/** Load of the pool for admission control; `undefined` when no target may receive work. */
	load(serviceMs: Ms): PoolLoad | undefined {
		const summary = this.#summary();
		return summary.candidates.every(({target}) => !target.dispatchable)
			? undefined
			: {
				slots: summary.slots, freeSlots: summary.freeSlots, meanServiceMs: this.#calls.meanServiceMs || serviceMs, nextSlotMs: this.#nextSlotMs(summary),
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
			this.pump(waiter.work.team);
			if (this.#waiters.has(waiter)) {
				this.#revokeFor(waiter);
				this.#schedulePoll();
			}
		});
	}

	/**
	 * Grants targets to waiting attempts while any may be sent. After a change of one team, the others are looked at only
	 * when a slot is free: nothing else has changed for them.
	 */
	pump(changedTeam?: string): void {
		this.parts.refresh();
		const refused = new Set<string>();
		while (this.#queue.size > 0 && refused.size < maxRefusals) {
			const summary = this.#summary();
			const next = this.#next(summary, {refused, changedTeam});
			if (!next) {
				return;
			}

			const target = this.#route(next, summary);
			if (target && !target.dispatchable) {
				this.parts.targets.expire(this.pool);
			} else if (target) {
				this.#grant(next, target, summary);
			} else {
				refused.add(next.work.team);
			}
		}
	}

	/** Calls in flight by target. */
	callsByTarget(): Map<string, number> {
		return this.#calls.byTarget();
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
	#next(summary: PoolSummary, {refused, changedTeam}: {refused: ReadonlySet<string>; changedTeam: string | undefined}): Waiter | undefined {
		const isEligible = (team: string) => !refused.has(team) && (summary.freeSlots > 0 || this.shares.classify(team, summary.slots) === 'within');
		for (const waiter of this.#urgent) {
			if (isEligible(waiter.work.team)) {
				return waiter;
			}
		}

		if (summary.freeSlots <= 0 && changedTeam !== undefined) {
			return isEligible(changedTeam) ? this.#queue.head(changedTeam) : undefined;
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
			predictedWaitMs: this.#nextSlotMs(summary),
			serviceTimeCorrection: times.of(this.pool).mean,
			laterStagesMs: waiter.laterMs,
		}, this.#offer(work, summary));
	}

	/**
	 * Candidates for an attempt: not the targets of earlier attempts while another exists. Within its share, an attempt
	 * may go to a target of the zone that others have filled; the target then serves it first among its waiting calls.
	 */
	#offer(work: StageWork, summary: PoolSummary): readonly RouteCandidate[] {
		const candidates = preferUnfailed(summary.candidates, work.failedTargets, ({target}) => target.name);
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
		const estimate = estimateServiceTime(target.pool, work.stage, {
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
		targets.changed(target, clock.now());
		if (isEngine) {
			index.recordDispatch(target, prefixes);
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
			this.#calls.completed(result.serviceMs);
			speed.recordSuccess(clock.now(), {expectedMs: call.expectedMs, measuredMs: result.serviceMs});
			times.add(this.pool, {estimatedMs: call.estimate.serviceMs, measuredMs: result.serviceMs});
			retries.earn(team, this.pool);
		} else if (result.outcome !== 'cancelled') {
			speed.recordFailure(clock.now(), result.serviceMs);
		}

		targets.changed(call.target, clock.now());
		this.pump(team);
	}

	#nextSlotMs(summary: PoolSummary): Ms {
		return this.#calls.nextSlotMs(this.parts.clock.now(), summary.slots);
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

		const call = this.#calls.newestAboveShare(waiter.work, this.shares, summary.slots);
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
