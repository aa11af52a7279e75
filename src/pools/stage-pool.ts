import type {Ms} from '../clock/index.js';
import type {StagePoolLimits} from '../routes/index.js';
import {
	isLate, orderJobs, piecesAhead, type JobUrgency,
} from './job-order.js';
import {isSlow, shouldSkipSlowTarget} from './slow-target.js';
import {ThroughputEstimator} from './throughput-estimator.js';
import type {ServiceRetryBudget} from './service-retry-budget.js';
import type {
	PieceResult, StageCallOutcome, StageFailure, StageJob, StageJobOutcome,
} from './stage-job.js';
import {StageTargetState, type StageTarget} from './stage-target-state.js';
import {findInfeasibleJobs} from './infeasible-jobs.js';

/** Maximum number of calls that include a piece, so that a bad input is not retried forever. */
const maxPieceTries = 4;
/** A call times out after this multiple of its expected time, plus the slack. */
const callTimeoutFactor = 2.5;
const callTimeoutSlackMs: Ms = 600;

/**
 * Fraction of the targets that may run calls without any on-time job, and fraction of a target's memory reserved for
 * on-time jobs. If late jobs took every slot and all memory, jobs that arrive meanwhile would become late as well.
 */
const lateTargetShare = 0.5;
const onTimeMemoryShare = 0.5;
/** A job waits for a target near its inputs that is expected to be idle within this time, about half of the fixed time of a call. */
const nearTargetWaitMs: Ms = 150;

/** A piece that is part of a call. */
export interface CalledPiece {
	readonly job: StageJob;
	/** Index of the piece in its job. */
	readonly piece: number;
}

/** A call to be sent now. */
export interface StageCall {
	readonly id: number;
	readonly target: StageTarget;
	readonly pieces: readonly CalledPiece[];
	/** Number of its pieces that have been, or may have been, in an earlier call. */
	readonly repeats: number;
	/** Whether every job of the call is late. */
	readonly isLate: boolean;
	/** Expected time, including the slowdown of the target. */
	readonly expectedMs: Ms;
	readonly timeoutMs: Ms;
}

type JobState = {
	readonly job: StageJob;
	readonly results: Array<string | undefined>;
	readonly tries: number[];
	/** Number of first calls of pieces that are still to be counted as repeats, since earlier runs may have sent them. */
	sentBefore: number;
	/** Number of calls of pieces for which retries are reserved. */
	reservedRetries: number;
	/** Indexes of the pieces that wait for a call. */
	waiting: number[];
	/** Number of pieces in a call. */
	inCall: number;
	/** Whether one of its calls was cut off, and no other one has been completed since, so that its pieces may have ended their target. */
	isSuspect: boolean;
	readonly onEnd: (outcome: StageJobOutcome) => void;
};

/** A call in progress; `expectedMs` excludes the slowdown of the target. */
type RunningCall = {readonly call: StageCall; readonly startedMs: Ms; readonly expectedMs: Ms};

/** Options of a {@link StagePool}. */
export interface StagePoolOptions {
	readonly limits: StagePoolLimits;
	readonly budget: ServiceRetryBudget;
	/** Called with the handle of each result that nothing will use. */
	readonly onUnused: (handle: string) => void;
}

/**
 * Queue and batching scheduler for all targets of a stage service: decides which pieces go to which target in one call.
 * A target gets its next call when a slot is free again, so that pieces that arrive meanwhile are batched. The most urgent
 * jobs that can still meet their objective go first. It does no I/O: `nextCalls` returns the calls to send, and `endCall`
 * takes their outcomes.
 *
 * @example
 * pool.submit(job, outcome => reply(outcome), now);
 * for (const call of pool.nextCalls(now)) { … pool.endCall(call.id, end, now); }
 */
export class StagePool {
	static create(options: StagePoolOptions): StagePool {
		return new StagePool(options);
	}

	readonly #jobs = new Map<string, JobState>();
	readonly #targets = new Map<string, StageTargetState>();
	readonly #calls = new Map<number, RunningCall>();
	/** Jobs of running plans that will be submitted once the preceding stages have ended. */
	readonly #announced = new Map<string, {job: JobUrgency; pieces: number}>();
	readonly #throughput = ThroughputEstimator.create();
	/**
	 * What callers are still to be told. They may react at once by a call of this pool, such as to cancel the other jobs of a
	 * plan, so that they are told only when its state is consistent.
	 */
	readonly #notices: Array<() => void> = [];
	#limits: StagePoolLimits;
	readonly #budget: ServiceRetryBudget;
	#nextCallId = 1;

	private constructor(private readonly options: StagePoolOptions) {
		this.#limits = options.limits;
		this.#budget = options.budget;
	}

	/** Number of pieces that wait for a call. */
	get backlog(): number {
		let pieces = 0;
		for (const state of this.#jobs.values()) {
			pieces += state.waiting.length;
		}

		return pieces;
	}

	/** Number of calls in progress. */
	get calls(): number {
		return this.#calls.size;
	}

	get hasTargets(): boolean {
		return this.#targets.size > 0;
	}

	/** Time by which each waiting piece delays later jobs. */
	get msPerPiece(): Ms {
		return 1 / this.#throughput.piecesPerMs(this.#targets.size, this.#limits);
	}

	/** Replaces the declared limits. */
	setLimits(limits: StagePoolLimits): void {
		this.#limits = limits;
	}

	/** Replaces the targets that may get calls. Calls in progress at removed targets continue. */
	setTargets(targets: readonly StageTarget[]): void {
		const listed = new Map(targets.map(target => [target.id, target]));
		for (const id of this.#targets.keys()) {
			if (!listed.has(id)) {
				this.#targets.delete(id);
			}
		}

		for (const target of targets) {
			// A target that has started again under its id may have another address.
			if (this.#targets.get(target.id)?.target.address !== target.address) {
				this.#targets.set(target.id, StageTargetState.create(target));
			}
		}
	}

	/** Uses less of the targets' memory for a while, since plans of the previous host still hold results. */
	expectForeignResults(now: Ms): void {
		for (const target of this.#targets.values()) {
			target.expectForeignResults(now);
		}
	}

	/** Queues a job; `onEnd` is called once, possibly synchronously. A job whose id is that of one in the pool fails. */
	submit(job: StageJob, onEnd: (outcome: StageJobOutcome) => void, now: Ms): void {
		this.#announced.delete(job.id);
		if (this.#targets.size === 0) {
			this.#budget.release(job.sentPieces ?? 0);
			onEnd({failure: 'no_target', retryAfterMs: this.#limits.callMs});
			return;
		}

		if (this.#jobs.has(job.id)) {
			this.#budget.release(job.sentPieces ?? 0);
			onEnd({failure: 'failed', retryAfterMs: this.#limits.callMs});
			return;
		}

		this.#jobs.set(job.id, {
			job, results: Array.from({length: job.pieces}), tries: Array.from({length: job.pieces}, () => 0), sentBefore: job.sentPieces ?? 0, reservedRetries: job.sentPieces ?? 0, waiting: Array.from({length: job.pieces}, (_, piece) => piece), inCall: 0, isSuspect: false, onEnd,
		});
	}

	/** Whether no piece of a job has been in a call yet; also true for a job that is not in the pool. */
	isUnstarted(id: string): boolean {
		const state = this.#jobs.get(id);
		return !state || state.tries.every(tries => tries === 0);
	}

	/** Cancels a job whose results are no longer needed. Pieces in a call run to completion, and their results are reported to `onUnused`. */
	cancel(id: string): void {
		const state = this.#jobs.get(id);
		if (state) {
			this.#fail(state, 'cancelled');
			this.#notify();
		}
	}

	/** Removes a result that was freed or has expired at its target, so that its memory no longer counts as used; returns whether a target of this pool held it. */
	removeResult(handle: string, now: Ms): boolean {
		return [...this.#targets.values()].some(target => target.removeResult(handle, now));
	}

	/** Announces a job that is likely to be submitted later, so that wait estimates include it. */
	announce(id: string, job: JobUrgency, pieces: number): void {
		this.#announced.set(id, {job, pieces});
	}

	/** Removes an announced job. */
	withdraw(id: string): void {
		this.#announced.delete(id);
	}

	/** Returns the expected call time of a job, including the wait for a busy target to end its current call. */
	expectedCallMs(pieces: number): Ms {
		const callMs = this.#throughput.expectedCallMs(pieces, this.#limits);
		return callMs + (this.#calls.size >= this.#targets.size ? callMs / (this.#targets.size + 1) : 0);
	}

	/** Returns the expected time until a new job starts: the time until a usable target has a free slot, plus the pieces ahead of the job divided by the throughput of the usable targets. */
	expectedWaitMs(now: Ms, job: JobUrgency): Ms {
		const waiting = [...this.#jobs.values()].map(state => ({job: state.job, pieces: state.waiting.length}));
		const ahead = piecesAhead([...waiting, ...this.#announced.values()], job, now);
		const usable = [...this.#targets.values()].filter(target => target.isUsable(now));
		const freeMs = Math.min(...usable.map(target => target.callCount < this.#limits.slots ? 0 : target.idleAt(now) - now));
		const piecesPerMs = job.startByMs < now ? this.#throughput.sparePiecesPerMs(usable.length, this.#limits, now) : this.#throughput.piecesPerMs(usable.length, this.#limits);
		return (Number.isFinite(freeMs) ? freeMs : 0) + (ahead / piecesPerMs);
	}

	/**
	 * Starts and returns the calls to send now. `share` is this host's fraction of the work. It is less than 1 while other
	 * hosts use the same targets; fewer calls are then made, each with more pieces.
	 */
	nextCalls(now: Ms, share = 1): StageCall[] {
		this.#shedJobs(now);
		this.#notify();
		if (this.backlog === 0) {
			return [];
		}

		const calls: StageCall[] = [];
		const maxCalls = Math.max(1, Math.round(share * this.#targets.size * this.#limits.slots));
		const free = [...this.#targets.values()].filter(target => target.callCount < this.#limits.slots && target.isUsable(now));
		// The fastest targets choose first.
		free.sort((a, b) => a.slowdown(now) - b.slowdown(now));
		for (const target of free) {
			if (this.#calls.size >= maxCalls) {
				break;
			}

			const {pieces, isLate} = this.#takePieces(target, now);
			if (pieces.length > 0) {
				calls.push(this.#startCall(target, pieces, {now, isLate}));
				this.#throughput.recordCall({
					pieces: pieces.length, batch: this.#limits.batch, hasBacklog: this.backlog > 0, isLate,
				}, now);
			}
		}

		return calls;
	}

	/** Records the outcome of a call, completing, failing or requeueing its pieces. */
	endCall(callId: number, end: StageCallOutcome, now: Ms): void {
		const running = this.#calls.get(callId);
		if (!running) {
			return;
		}

		this.#calls.delete(callId);
		const {call, startedMs, expectedMs} = running;
		const current = this.#targets.get(call.target.id);
		const target = current?.target.address === call.target.address ? current : undefined;
		target?.endCall(call.id, {end: end.kind, tookMs: now - startedMs, expectedMs}, now);
		if (end.kind !== 'unreachable') {
			target?.setLimit(end.limitPerSecond, now);
		}

		if (end.kind === 'done' && end.results.some(result => 'problem' in result && result.problem === 'room')) {
			target?.reduceMemoryShare(now);
		}

		for (const [index, piece] of call.pieces.entries()) {
			const result: PieceResult = end.kind === 'done' ? end.results[index] ?? {problem: 'error'} : {problem: 'error'};
			if ('handle' in result) {
				target?.addResult(result.handle, piece.job.resultBytes, {now, expiresMs: now + this.#limits.resultTtlMs});
			}

			this.#endPiece(piece, result, end, now);
		}

		this.#notify();
	}

	/** Returns the time at which `nextCalls` should be called again even without an event, or `undefined` when nothing waits. */
	wakeAt(now: Ms): Ms | undefined {
		if (this.backlog === 0) {
			return undefined;
		}

		const times = [...this.#targets.values()].map(target => target.usableAt(now)).filter(time => time > now);
		return Math.min(now + (this.#limits.callMs / 2), ...times);
	}

	/** Takes the pieces of the next call of a target from the queue; none when the target should get no call. */
	#takePieces(target: StageTargetState, now: Ms): {pieces: CalledPiece[]; isLate: boolean} {
		const waiting = [...this.#jobs.values()].filter(state => state.waiting.length > 0);
		const jobs = orderJobs(waiting.map(state => ({job: state.job, pieces: state.waiting.length})), {
			now, zone: target.target.zone, zoneCapacity: this.#zoneCapacity(now),
		});
		if (jobs.length === 0 || this.#shouldSkipSlowTarget(target, now)) {
			return {pieces: [], isLate: false};
		}

		const chosen: CalledPiece[] = [];
		const mayStartLate = [...this.#calls.values()].filter(({call}) => call.isLate).length < Math.max(1, Math.floor(this.#targets.size * lateTargetShare));
		let freeMb = target.freeMemoryMb(this.#limits.resultMemoryMb, this.#throughput.expectedCallMs(0, this.#limits), now);
		let isLateCall = false;
		for (const {job, isLate} of jobs) {
			if (isLate && chosen.length === 0) {
				isLateCall = true;
			}

			if (isLateCall && !mayStartLate) {
				break;
			}

			const state = this.#jobs.get(job.id)!;
			// What ended its target goes to one target at a time and without other jobs, which would come under suspicion with it.
			if (state.isSuspect && (chosen.length > 0 || state.inCall > 0)) {
				continue;
			}

			const pieceMb = job.resultBytes / 1e6;
			const batchLeft = this.#limits.batch - chosen.length;
			const usableMb = isLate ? freeMb - (this.#limits.resultMemoryMb * onTimeMemoryShare) : freeMb;
			const fitting = Math.max(0, Math.min(batchLeft, Math.floor(usableMb / Math.max(pieceMb, Number.EPSILON))));
			// Results of part of a job hold memory without being usable, so a job is split only when it exceeds the batch or the memory of an empty target.
			const isWhole = fitting >= state.waiting.length;
			if (!isWhole && (chosen.length > 0 || (batchLeft > fitting && !target.isEmpty))) {
				continue;
			}

			for (const piece of state.waiting.splice(0, fitting)) {
				chosen.push({job, piece});
			}

			freeMb -= pieceMb * Math.min(fitting, job.pieces);
			if (chosen.length >= this.#limits.batch || (state.isSuspect && chosen.length > 0)) {
				break;
			}
		}

		return {pieces: chosen, isLate: isLateCall};
	}

	#shouldSkipSlowTarget(target: StageTargetState, now: Ms): boolean {
		const others = [...this.#targets.values()].filter(other => other !== target);
		return shouldSkipSlowTarget(target, others, {backlog: this.backlog, limits: this.#limits, now});
	}

	/** Number of pieces that the targets of each zone can take in their next calls. */
	#zoneCapacity(now: Ms): Map<string, number> {
		const pieces = new Map<string, number>();
		for (const target of this.#targets.values()) {
			if (target.isUsable(now) && !isSlow(target, now) && target.idleAt(now) <= now + nearTargetWaitMs) {
				const {zone} = target.target;
				pieces.set(zone, (pieces.get(zone) ?? 0) + this.#throughput.piecesPerCall(this.#limits));
			}
		}

		return pieces;
	}

	#startCall(target: StageTargetState, pieces: readonly CalledPiece[], {now, isLate}: {now: Ms; isLate: boolean}): StageCall {
		const id = this.#nextCallId++;
		const expectedMs = (this.#limits.callMs + (this.#limits.pieceMs * pieces.length)) * Math.max(1, target.slowdown(now));
		const call: StageCall = {
			id, target: target.target, pieces, repeats: this.#countTries(pieces, now), isLate, expectedMs, timeoutMs: (expectedMs * callTimeoutFactor) + callTimeoutSlackMs,
		};
		this.#calls.set(id, {call, startedMs: now, expectedMs: expectedMs / Math.max(1, target.slowdown(now))});
		target.startCall(id, {memoryMb: pieces.reduce((sum, {job}) => sum + (job.resultBytes / 1e6), 0), endsMs: now + expectedMs}, now);
		return call;
	}

	/** Counts the pieces of a call that starts, and returns how many of them are repeats. */
	#countTries(pieces: readonly CalledPiece[], now: Ms): number {
		let repeats = 0;
		for (const {job, piece} of pieces) {
			const state = this.#jobs.get(job.id)!;
			state.inCall++;
			state.tries[piece]!++;
			const isFirst = state.tries[piece] === 1;
			if (isFirst && state.sentBefore === 0) {
				continue;
			}

			state.sentBefore -= isFirst ? 1 : 0;
			state.reservedRetries--;
			repeats++;
		}

		this.#budget.recordSent(now, repeats);
		return repeats;
	}

	#endPiece({job, piece}: CalledPiece, result: PieceResult, end: StageCallOutcome, now: Ms): void {
		const state = this.#jobs.get(job.id);
		// The job may have ended, and its id be that of a new one.
		if (state?.job !== job) {
			if ('handle' in result) {
				this.#reportUnused(result.handle);
			}

			return;
		}

		state.inCall--;
		state.isSuspect = (state.isSuspect && end.kind !== 'done') || (end.kind === 'unreachable' && end.lost === 'broken');
		if ('handle' in result) {
			state.results[piece] = result.handle;
			if (state.results.every(handle => handle !== undefined)) {
				this.#end(state, {results: state.results});
			}

			return;
		}

		if (result.problem === 'late' || result.problem === 'gone') {
			this.#fail(state, result.problem === 'late' ? 'late' : 'input_gone');
		} else if (state.tries[piece]! >= maxPieceTries || !this.#budget.reserve(now)) {
			this.#fail(state, end.kind === 'refused' ? 'overloaded' : 'failed');
		} else {
			state.reservedRetries++;
			state.waiting.unshift(piece);
		}
	}

	/** Fails the jobs that cannot meet their deadline: those that could not even if they started now, and those that {@link findInfeasibleJobs} finds. */
	#shedJobs(now: Ms): void {
		for (const state of this.#jobs.values()) {
			if (state.inCall === 0 && now + this.#limits.callMs > state.job.deadlineMs) {
				this.#fail(state, 'late');
			}
		}

		this.#rejectInfeasible(now);
	}

	/** Rejects late jobs that cannot meet their deadline with the spare throughput, unless they have pieces in a call. */
	#rejectInfeasible(now: Ms): void {
		const late = [...this.#jobs.values()].filter(state => state.waiting.length > 0 && isLate(state.job, now));
		if (late.length === 0) {
			return;
		}

		const usable = [...this.#targets.values()].filter(target => target.isUsable(now)).length;
		const piecesPerMs = Math.min(this.#throughput.sparePiecesPerMs(usable, this.#limits, now), this.#throughput.piecesPerMs(usable, this.#limits) * lateTargetShare);
		const queue = late.map(({job, waiting, inCall}) => ({job, pieces: waiting.length, isInCall: inCall > 0}));
		for (const {id, excessMs} of findInfeasibleJobs(queue, {now, piecesPerMs, callMs: this.#limits.callMs})) {
			this.#fail(this.#jobs.get(id)!, 'overloaded', excessMs);
		}
	}

	#fail(state: JobState, failure: StageFailure, retryAfterMs = this.#limits.callMs): void {
		for (const handle of state.results) {
			if (handle !== undefined) {
				this.#reportUnused(handle);
			}
		}

		this.#end(state, {failure, retryAfterMs, sentPieces: state.tries.filter(tries => tries > 0).length});
	}

	#end(state: JobState, outcome: StageJobOutcome): void {
		this.#jobs.delete(state.job.id);
		this.#budget.release(state.reservedRetries);
		this.#notices.push(() => {
			state.onEnd(outcome);
		});
	}

	#reportUnused(handle: string): void {
		this.#notices.push(() => {
			this.options.onUnused(handle);
		});
	}

	/** Tells callers what has ended; an error of one of them is thrown after the others have been told. */
	#notify(): void {
		const errors: unknown[] = [];
		for (let notice = this.#notices.shift(); notice; notice = this.#notices.shift()) {
			try {
				notice();
			} catch (err) {
				errors.push(err);
			}
		}

		if (errors.length > 0) {
			throw errors[0];
		}
	}
}
