import type {CancelTimer, Ms} from '../clock/index.js';
import {
	estimateServiceTime, type RouteCandidate,
} from '../routing/index.js';
import type {ShareClass, Target} from '../targets/index.js';
import {AcquireError} from './acquire-error.js';
import type {PoolLoad} from './admission.js';
import {CallsInFlight, type Call} from './calls-in-flight.js';
import {FairQueue} from './fair-queue.js';
import type {PendingAttempt, PoolQueueDependencies} from './pool-queue-dependencies.js';
import type {PoolSummary} from './pool-targets.js';
import type {
	AcquireFailure, AttemptResult, Grant, StageWork,
} from './scheduler.js';
import type {TeamShares} from './team-shares.js';
import {preferUnfailed} from './prefer-unfailed.js';

/** Maximum number of queued attempts per team. A longer queue could not be served within usual deadlines. */
const maxQueuedPerTeam = 1000;
/** Poll interval of queued attempts: digests and health changes free targets without notifying the queue. */
const pollIntervalMs: Ms = 20;
/** Time before an attempt's latest start at which a call is revoked for it; covers a poll and the end of that call. */
const revocationLeadMs: Ms = 2 * pollIntervalMs;
/** A dispatch ends after the router has found no target for the next attempt of this many teams; bounds its duration. */
const maxUnroutedTeams = 4;

/** A queued attempt. `isUrgent` is set when a call was revoked for it. */
type Waiter = PendingAttempt & {isUrgent: boolean; readonly complete: (result: Grant | AcquireFailure) => void};

/**
 * Queue of one pool: grants targets in fair order and revokes calls of teams above their share.
 *
 * @internal
 */
export class PoolQueue {
	static create(pool: string, shares: TeamShares, dependencies: PoolQueueDependencies): PoolQueue {
		return new PoolQueue(pool, shares, dependencies);
	}

	readonly #queue = FairQueue.create<Waiter>({capacityPerTeam: maxQueuedPerTeam});
	readonly #waiters = new Set<Waiter>();
	/** Waiters for which a call was revoked; they are served first. */
	readonly #urgent = new Set<Waiter>();
	readonly #calls = CallsInFlight.create();
	#cancelPoll: CancelTimer | undefined;

	private constructor(private readonly pool: string, readonly shares: TeamShares, private readonly dependencies: PoolQueueDependencies) {}

	/** Load of the pool for admission control; `undefined` when no target may receive work. */
	load(serviceMs: Ms): PoolLoad | undefined {
		const summary = this.#summary();
		return summary.candidates.every(({target}) => !target.dispatchable)
			? undefined
			: {
				slots: summary.slots, freeSlots: summary.freeSlots, meanServiceMs: this.#calls.meanServiceMs || serviceMs, nextSlotMs: this.#nextSlotMs(summary),
			};
	}

	/** Queues an attempt and waits for a target. */
	async acquire(attempt: PendingAttempt, signal: AbortSignal): Promise<Grant> {
		return new Promise((resolve, reject) => {
			const onAbort = () => {
				this.#reject(waiter, 'aborted');
			};

			const waiter: Waiter = {
				...attempt,
				isUrgent: false,
				complete: result => {
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
			this.dispatch(waiter.work.team);
			if (this.#waiters.has(waiter)) {
				this.#revokeFor(waiter);
				this.#schedulePoll();
			}
		});
	}

	/**
	 * Grants targets to queued attempts until none can be sent. With `changedTeam`, other teams are considered only when a
	 * slot is free, since nothing else has changed for them.
	 */
	dispatch(changedTeam?: string): void {
		this.dependencies.refreshZoneLoad();
		const unroutedTeams = new Set<string>();
		while (this.#queue.size > 0 && unroutedTeams.size < maxUnroutedTeams) {
			const summary = this.#summary();
			const next = this.#nextWaiter(summary, {unroutedTeams, changedTeam});
			if (!next) {
				return;
			}

			const target = this.#route(next, summary);
			if (target && !target.dispatchable) {
				this.dependencies.targets.invalidate(this.pool);
			} else if (target) {
				this.#grant(next, target, summary);
			} else {
				unroutedTeams.add(next.work.team);
			}
		}
	}

	/** Number of calls in flight from this entry VM by target name. */
	callsByTarget(): Map<string, number> {
		return this.#calls.byTarget();
	}

	#summary(): PoolSummary {
		const {clock, targets, activePeers} = this.dependencies;
		return targets.summary(this.pool, {now: clock.now(), slotFraction: this.shares.localFraction(activePeers(this.pool))});
	}

	#enqueue(waiter: Waiter, signal: AbortSignal): AcquireFailure | undefined {
		const {work, weight, serviceMs} = waiter;
		if (this.dependencies.registry.pool(this.pool).length === 0) {
			return 'no_target';
		}

		if (signal.aborted) {
			return 'aborted';
		}

		// `serviceMs` is a mean, so this rejects only attempts that would be late even at the 10th percentile.
		const {low, mean} = this.dependencies.serviceTimes.ratios(this.pool);
		if (this.dependencies.clock.now() > work.deadlineMs - waiter.laterStagesMs - (serviceMs * low / mean)) {
			return 'deadline';
		}

		if (!this.#queue.push(work.team, waiter, {weight, order: work.deadlineMs})) {
			return 'overloaded';
		}

		this.#waiters.add(waiter);
		this.shares.addQueued(work.team, serviceMs);
		return undefined;
	}

	/**
	 * Latest start at which an attempt is still expected to meet its deadline. An attempt waits only while others compete
	 * for the slots, so a later start would take the slot from one that can still meet its deadline.
	 */
	#latestStartMs(waiter: PendingAttempt): Ms {
		return waiter.work.deadlineMs - waiter.laterStagesMs - waiter.serviceMs;
	}

	/** Next attempt in fair order, urgent ones first; without a free slot, only attempts within their team's share. */
	#nextWaiter(summary: PoolSummary, {unroutedTeams, changedTeam}: {unroutedTeams: ReadonlySet<string>; changedTeam: string | undefined}): Waiter | undefined {
		const isEligible = (team: string) => !unroutedTeams.has(team) && (summary.freeSlots > 0 || this.shares.classify(team, summary.slots) === 'within');
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
		const {clock, serviceTimes, router} = this.dependencies;
		const {work} = waiter;
		return router.choose({
			work,
			prefixes: waiter.prefixes,
			now: clock.now(),
			predictedWaitMs: this.#nextSlotMs(summary),
			serviceTimeCorrection: serviceTimes.ratios(this.pool).mean,
			laterStagesMs: waiter.laterStagesMs,
		}, this.#candidates(work, summary));
	}

	/**
	 * Candidates for an attempt, without the targets that failed earlier attempts while others exist. When no target is free,
	 * an attempt within its team's share may be sent to a target of this zone that other entry VMs have filled; the target
	 * then serves it before its other queued calls.
	 */
	#candidates(work: StageWork, summary: PoolSummary): readonly RouteCandidate[] {
		const candidates = preferUnfailed(summary.candidates, work.failedTargets, ({target}) => target.name);
		if (candidates.some(({isFree}) => isFree) || this.shares.classify(work.team, summary.slots) === 'above') {
			return candidates;
		}

		return candidates.map(candidate => ({
			...candidate, isFree: candidate.target.zone === this.dependencies.zone && candidate.target.inFlight < candidate.limit,
		}));
	}

	#grant(waiter: Waiter, target: Target, summary: PoolSummary): void {
		const {clock, prefixIndex, registry, serviceTimes, targets} = this.dependencies;
		const {work, prefixes} = waiter;
		const isEngine = target.pool.type === 'engine';
		const {limit} = targets.speed(target);
		const estimate = estimateServiceTime(target.pool, work.stage, {
			uncachedTokens: isEngine ? prefixIndex.uncachedTokens(target.name, prefixes) : 0, maxTokens: work.maxTokens, batch: limit,
		});
		const call: Call = {
			work, target, estimate, expectedMs: estimate.serviceMs * serviceTimes.ratios(this.pool).mean, sentAt: clock.now(), revocation: new AbortController(),
		};
		const shareClass = this.shares.classify(work.team, summary.slots);
		this.#queue.take(work.team, waiter, estimate.workMs);
		this.#onDequeued(waiter);
		this.shares.callStarted(work.team, call.expectedMs);
		this.#calls.add(call);
		registry.callStarted(target.name);
		targets.update(target, clock.now());
		if (isEngine) {
			prefixIndex.recordDispatch(target, prefixes);
		}

		waiter.complete(this.#createGrant(call, shareClass));
	}

	#createGrant(call: Call, shareClass: ShareClass): Grant {
		return {
			target: call.target,
			shareClass,
			revoked: call.revocation.signal,
			settle: result => {
				if (this.#calls.delete(call)) {
					this.#settle(call, result);
				}
			},
		};
	}

	#settle(call: Call, result: AttemptResult): void {
		const {clock, registry, targets, serviceTimes, retryBudget} = this.dependencies;
		const {team} = call.work;
		registry.callEnded(call.target.name, result.outcome);
		this.shares.callEnded(team, call.expectedMs);
		this.#queue.complete(team, call.estimate.workMs * ((result.serviceMs / Math.max(1, call.estimate.serviceMs)) - 1));
		const speed = targets.speed(call.target);
		if (result.outcome === 'ok') {
			this.#calls.recordCompletion(result.serviceMs);
			speed.recordSuccess(clock.now(), {expectedMs: call.expectedMs, measuredMs: result.serviceMs});
			serviceTimes.add(this.pool, {estimatedMs: call.estimate.serviceMs, measuredMs: result.serviceMs});
			retryBudget.earn(team, this.pool);
		} else if (result.outcome !== 'cancelled') {
			speed.recordFailure(clock.now(), result.serviceMs);
		}

		targets.update(call.target, clock.now());
		this.dispatch(team);
	}

	#nextSlotMs(summary: PoolSummary): Ms {
		return this.#calls.nextSlotMs(this.dependencies.clock.now(), summary.slots);
	}

	#schedulePoll(): void {
		this.#cancelPoll ??= this.dependencies.clock.after(pollIntervalMs, () => {
			this.#cancelPoll = undefined;
			this.#poll();
		});
	}

	#poll(): void {
		const now = this.dependencies.clock.now();
		for (const waiter of this.#waiters) {
			if (now > this.#latestStartMs(waiter)) {
				this.#reject(waiter, 'deadline');
			}
		}

		this.dispatch();
		for (const {item} of this.#queue.heads()) {
			this.#revokeFor(item);
		}

		if (this.#waiters.size > 0) {
			this.#schedulePoll();
		}
	}

	/** Revokes a call of a team above its share when an attempt within its team's share would otherwise miss its deadline. */
	#revokeFor(waiter: Waiter): void {
		const {clock, events} = this.dependencies;
		const summary = this.#summary();
		// Calls can take longer than predicted, so within the lead time a call is revoked even if a slot should be free in time.
		const waitMs = Math.max(this.#nextSlotMs(summary), revocationLeadMs);
		const meetsDeadline = clock.now() + waitMs <= this.#latestStartMs(waiter);
		if (waiter.isUrgent || meetsDeadline || this.shares.classify(waiter.work.team, summary.slots) === 'above') {
			return;
		}

		const call = this.#calls.newestRevocable(waiter.work, this.shares, summary.slots);
		if (!call) {
			return;
		}

		waiter.isUrgent = true;
		this.#urgent.add(waiter);
		events?.record({
			kind: 'attempt_cancelled', requestId: call.work.requestId, team: call.work.team, stage: call.work.stage.name, attempt: call.work.attempt, target: call.target.name, detail: `revoked for team ${waiter.work.team}`,
		});
		call.revocation.abort();
	}

	#reject(waiter: Waiter, failure: AcquireFailure): void {
		if (this.#queue.remove(waiter.work.team, waiter)) {
			this.#onDequeued(waiter);
			waiter.complete(failure);
		}
	}

	#onDequeued(waiter: Waiter): void {
		this.#waiters.delete(waiter);
		this.#urgent.delete(waiter);
		this.shares.addQueued(waiter.work.team, -waiter.serviceMs);
	}
}
