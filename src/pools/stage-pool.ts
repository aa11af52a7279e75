import type {Ms} from '../clock/index.js';
import {isRegionAllowed} from '../placement/index.js';
import type {StagePoolLimits} from '../routes/index.js';
import {planCall} from './call-plan.js';
import {
	isLate, jobsForTarget, orderJobs, workAhead, type JobUrgency, type JobWork, type OrderedJob, type WaitingJob,
} from './job-order.js';
import {lateAllowance, type LateAllowance} from './late-allowance.js';
import {isSlow, shouldSkipSlowTarget} from './slow-target.js';
import {pieceKindKey, type PieceKind} from './piece-kind.js';
import {PieceTimes, type KindPieces} from './piece-times.js';
import {ReleaseTrust} from './release-trust.js';
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

/** A job that is likely to be submitted later. */
type AnnouncedJob = {job: JobUrgency; pieces: number; kind: PieceKind};

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
	readonly #announced = new Map<string, AnnouncedJob>();
	readonly #throughput = ThroughputEstimator.create();
	readonly #pieceTimes = PieceTimes.create();
	readonly #releaseTrust = ReleaseTrust.create();
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
		return 1 / this.#throughput.piecesPerMs(this.#targets.size, this.#learnedLimits());
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
				this.#targets.set(target.id, StageTargetState.create(target, this.#releaseTrust));
			}
		}
	}

	/** Sends no calls to a target until `untilMs`. */
	holdBack(id: string, untilMs: Ms): void {
		this.#targets.get(id)?.holdBack(untilMs);
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
		if (![...this.#targets.values()].some(({target}) => isRegionAllowed(job.regions, target.region))) {
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

	/** Whether a job has pieces that wait for a call. */
	isWaiting(id: string): boolean {
		return (this.#jobs.get(id)?.waiting.length ?? 0) > 0;
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
	announce(id: string, announced: AnnouncedJob): void {
		this.#announced.set(id, announced);
	}

	/** Removes an announced job. */
	withdraw(id: string): void {
		this.#announced.delete(id);
	}

	/** Returns the expected call time of a job, including the wait for a busy target to end its current call. */
	expectedCallMs(pieces: number, kind: PieceKind): Ms {
		const callMs = this.#pieceTimes.jobCallMs({kind, pieces}, this.#limits);
		return callMs + (this.#calls.size >= this.#targets.size ? callMs / (this.#targets.size + 1) : 0);
	}

	/** Returns the expected time until a new job starts: the time until a usable target has a free slot, plus the time that the usable targets need for the pieces ahead of the job. */
	expectedWaitMs(now: Ms, job: JobUrgency): Ms {
		const ahead = workAhead([...this.#waitingWork(), ...this.#announcedWork()], job, now);
		const usable = [...this.#targets.values()].filter(target => target.isUsable(now));
		const freeMs = Math.min(...usable.map(target => target.callCount < this.#limits.slots ? 0 : target.idleAt(now) - now));
		const limits = this.#learnedLimits();
		const spareShare = job.startByMs < now ? this.#throughput.sparePiecesPerMs(usable.length, limits, now) / this.#throughput.piecesPerMs(usable.length, limits) : 1;
		return (Number.isFinite(freeMs) ? freeMs : 0) + (ahead / Math.max(1, usable.length) / spareShare);
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
		const usualMs = this.#throughput.expectedCallMs(0, this.#learnedLimits());
		const readyMs = new Map(free.map(target => [target, target.queueMs(usualMs, now) + (usualMs * target.slowdown(now))]));
		free.sort((a, b) => readyMs.get(a)! - readyMs.get(b)!);
		let jobs = orderJobs(this.#waitingJobs(), now);
		for (const target of free) {
			if (this.#calls.size >= maxCalls) {
				break;
			}

			const {pieces, isLate} = this.#takePieces(target, jobs, now);
			if (pieces.length > 0) {
				const call = this.#startCall(target, pieces, {now, isLate});
				calls.push(call);
				// What was started now counts as started for the next target.
				jobs = orderJobs(this.#waitingJobs(), now);
				this.#throughput.recordCall({
					pieces: pieces.length, batch: this.#limits.batch, hasBacklog: jobs.length > 0, isLate, expectedMs: call.expectedMs,
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
		if (end.kind === 'done') {
			target?.recordMemory(call.id, !end.results.some(result => 'problem' in result && result.problem === 'room'), now);
		}

		const reportedSlowdown = end.kind === 'unreachable' ? 1 : target?.updateLoad(call.id, end.load, now) ?? 1;
		const tookMs = (now - startedMs) / reportedSlowdown;
		this.#learnTimes(call, end, tookMs);
		// A target that asks for no calls for a time has not failed.
		const isHeldBack = end.kind === 'failed' && end.retryAfterMs !== undefined;
		target?.endCall(call.id, {
			end: isHeldBack ? 'refused' : end.kind, tookMs, expectedMs, brittlePerSecond: end.kind === 'unreachable' ? undefined : end.brittlePerSecond,
		}, now);
		if (end.kind !== 'unreachable') {
			target?.setLimit(end.limitPerSecond, now);
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

	/** Jobs with waiting pieces. */
	#waitingJobs(): WaitingJob[] {
		return [...this.#jobs.values()].filter(({waiting}) => waiting.length > 0).map(({job, waiting, inCall, results}) => ({
			job, pieces: waiting.length, isStarted: inCall > 0 || results.some(handle => handle !== undefined),
		}));
	}

	/** Time of one target that the waiting pieces of each job take. */
	* #waitingWork(): Iterable<JobWork> {
		const fixedMs = this.#fixedMsPerPiece();
		for (const {job, pieces, isStarted} of this.#waitingJobs()) {
			yield {job, isStarted, workMs: pieces * (fixedMs + this.#pieceTimes.pieceMs(job, this.#limits))};
		}
	}

	* #announcedWork(): Iterable<JobWork> {
		const fixedMs = this.#fixedMsPerPiece();
		for (const {job, pieces, kind} of this.#announced.values()) {
			yield {job, isStarted: false, workMs: pieces * (fixedMs + this.#pieceTimes.pieceMs(kind, this.#limits))};
		}
	}

	/** Part of the fixed time of a call for each piece of the usual call. */
	#fixedMsPerPiece(): Ms {
		return this.#pieceTimes.fixedMs(this.#limits) / this.#throughput.piecesPerCall(this.#limits);
	}

	#learnedLimits(): StagePoolLimits {
		return this.#pieceTimes.learnedLimits(this.#limits);
	}

	/** Takes the pieces of the next call of a target from the queue; none when the target should get no call. */
	#takePieces(target: StageTargetState, ordered: readonly OrderedJob[], now: Ms): {pieces: CalledPiece[]; isLate: boolean} {
		const allowed = ordered.filter(({job}) => isRegionAllowed(job.regions, target.target.region));
		const jobs = jobsForTarget(allowed, {now, zone: target.target.zone, zoneCapacity: this.#zoneCapacity(now)});
		if (jobs.length === 0 || this.#shouldSkipSlowTarget(target, now)) {
			return {pieces: [], isLate: false};
		}

		const {targets, reservedMemoryShare} = this.#lateAllowance(now);
		const {parts, isLate} = planCall(jobs.map(job => ({...job, isSuspect: this.#jobs.get(job.job.id)!.isSuspect, inCall: this.#jobs.get(job.job.id)!.inCall})), {
			batch: this.#limits.batch,
			freeMb: target.freeMemoryMb(this.#limits.resultMemoryMb, this.#throughput.expectedCallMs(0, this.#learnedLimits()), now),
			reservedMb: target.usableMemoryMb(this.#limits.resultMemoryMb, now) * reservedMemoryShare,
			isEmpty: target.isEmpty,
			mayBeLate: [...this.#calls.values()].filter(({call}) => call.isLate).length < targets,
		});
		const pieces = parts.flatMap(part => this.#jobs.get(part.job.id)!.waiting.splice(0, part.pieces).map(piece => ({job: part.job, piece})));
		return {pieces, isLate};
	}

	#lateAllowance(now: Ms): LateAllowance {
		return lateAllowance(this.#targets.size, this.#throughput.onTimeShare(this.#targets.size * this.#limits.slots, now));
	}

	#shouldSkipSlowTarget(target: StageTargetState, now: Ms): boolean {
		const others = [...this.#targets.values()].filter(other => other !== target);
		return shouldSkipSlowTarget(target, others, {backlog: this.backlog, limits: this.#learnedLimits(), now});
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
		const parts = countKinds(pieces);
		const usualMs = this.#pieceTimes.callMs(parts, this.#limits);
		const slowdown = Math.max(1, target.slowdown(now));
		const expectedMs = target.queueMs(usualMs, now) + (usualMs * slowdown);
		const call: StageCall = {
			id, target: target.target, pieces, repeats: this.#countTries(pieces, now), isLate, expectedMs, timeoutMs: (Math.max(expectedMs, this.#pieceTimes.safeCallMs(parts, this.#limits) * slowdown) * callTimeoutFactor) + callTimeoutSlackMs,
		};
		this.#calls.set(id, {call, startedMs: now, expectedMs: usualMs});
		target.startCall(id, {memoryMb: pieces.reduce((sum, {job}) => sum + (job.resultBytes / 1e6), 0), memoryLimitMb: this.#limits.resultMemoryMb, endsMs: now + expectedMs}, now);
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

	/** Learns from a call in which every piece ran. What its target takes longer than the others says nothing about the pieces. */
	#learnTimes({target, pieces}: StageCall, end: StageCallOutcome, tookMs: Ms): void {
		if (end.kind === 'done' && end.results.every(result => 'handle' in result)) {
			const speeds = [...this.#targets.values()].map(each => each.lastSlowdown).toSorted((a, b) => a - b);
			const usual = speeds[Math.floor(speeds.length / 2)] ?? 1;
			this.#pieceTimes.record(countKinds(pieces), tookMs * usual / (this.#targets.get(target.id)?.lastSlowdown ?? usual), this.#limits);
		}
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

	/** Rejects late jobs that cannot meet their deadline with the spare throughput, unless they have been started. */
	#rejectInfeasible(now: Ms): void {
		const late = this.#waitingJobs().filter(({job}) => isLate(job, now));
		if (late.length === 0) {
			return;
		}

		const usable = [...this.#targets.values()].filter(target => target.isUsable(now)).length;
		const limits = this.#learnedLimits();
		const piecesPerMs = Math.min(this.#throughput.sparePiecesPerMs(usable, limits, now), this.#throughput.piecesPerMs(usable, limits) * this.#lateAllowance(now).targets / Math.max(1, this.#targets.size));
		for (const {id, excessMs} of findInfeasibleJobs(late, {now, piecesPerMs, callMs: this.#limits.callMs})) {
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

/** Counts the pieces of a call by kind. */
function countKinds(pieces: readonly CalledPiece[]): KindPieces[] {
	const kinds = new Map<string, {kind: PieceKind; pieces: number}>();
	for (const {job} of pieces) {
		const key = pieceKindKey(job);
		const counted = kinds.get(key) ?? {kind: job, pieces: 0};
		counted.pieces++;
		kinds.set(key, counted);
	}

	return [...kinds.values()];
}
