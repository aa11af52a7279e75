import type {Ms} from '../clock/index.js';
import type {StagePoolLimits} from '../routes/index.js';
import {
	isLate, orderJobs, piecesAhead, type RankedJob,
} from './job-order.js';
import {isLeftForFaster, isSlow} from './slow-target.js';
import {PoolRate} from './throughput-estimator.js';
import type {ServiceRetryBudget} from './service-retry-budget.js';
import type {
	PieceResult, StageCallOutcome, StageFailure, StageJob, StageJobOutcome,
} from './stage-job.js';
import {StageTargetState, type StageTarget} from './stage-target-state.js';
import {unreachedJobs} from './infeasible-jobs.js';

/** Times that a piece is asked for in all, so that one bad input does not go round for ever. */
const maxPieceTries = 4;
/** Answers of a call arrive within this multiple of its expected time and slack, or it is given up. */
const callTimeoutFactor = 2.5;
const callTimeoutSlackMs: Ms = 600;

/**
 * Part of the targets that may run calls without any on-time job, and part of a target's room kept for on-time jobs.
 * Late work that takes every slot and all room makes the jobs that arrive meanwhile late as well.
 */
const lateTargetShare = 0.5;
const onTimeRoomShare = 0.5;
/** A target near a job's inputs is waited for when it is free within this time, about half of a call's fixed part. */
const nearWaitMs: Ms = 150;

/** One piece of a call. */
export interface CalledPiece {
	readonly job: StageJob;
	readonly piece: number;
}

/** A call that the pool wants sent now. */
export interface StageCall {
	readonly id: number;
	readonly target: StageTarget;
	readonly pieces: readonly CalledPiece[];
	/** True when none of its requests can still meet its objective. */
	readonly isLate: boolean;
	readonly expectedMs: Ms;
	readonly timeoutMs: Ms;
}

type JobState = {
	readonly job: StageJob;
	readonly results: Array<string | undefined>;
	readonly tries: number[];
	/** Pieces that wait for a call. */
	waiting: number[];
	/** Pieces that are in a call. */
	calling: number;
	readonly onEnd: (outcome: StageJobOutcome) => void;
};

type RunningCall = {readonly call: StageCall; readonly startedMs: Ms; readonly expectedMs: Ms};

/** Settings of a pool. */
export interface StagePoolOptions {
	readonly limits: StagePoolLimits;
	readonly budget: ServiceRetryBudget;
	/** Told each result that nobody will use. */
	readonly onUnused: (handle: string) => void;
}

/**
 * The queue in front of all targets of a stage service, and the decision which pieces go to which target in one call.
 * A target gets its next call when the one before has ended, so that pieces that arrive meanwhile fill it; the most
 * urgent pieces that can still help their request go first. Needs no network: `next` returns the calls to send.
 *
 * @example
 * pool.submit(job, outcome => reply(outcome), now);
 * for (const call of pool.next(now)) { … pool.ended(call.id, end, now); }
 */
export class StagePool {
	static create(options: StagePoolOptions): StagePool {
		return new StagePool(options);
	}

	readonly #jobs = new Map<string, JobState>();
	readonly #targets = new Map<string, StageTargetState>();
	readonly #calls = new Map<number, RunningCall>();
	/** Jobs of plans under way that will be submitted when the stages before them have ended. */
	readonly #announced = new Map<string, {job: RankedJob; pieces: number}>();
	readonly #rate = PoolRate.create();
	#limits: StagePoolLimits;
	#budget: ServiceRetryBudget;
	#nextCall = 1;

	private constructor(private readonly options: StagePoolOptions) {
		this.#limits = options.limits;
		this.#budget = options.budget;
	}

	/** Pieces that wait for a call. */
	get backlog(): number {
		let pieces = 0;
		for (const state of this.#jobs.values()) {
			pieces += state.waiting.length;
		}

		return pieces;
	}

	/** Calls in progress. */
	get calls(): number {
		return this.#calls.size;
	}

	setLimits(limits: StagePoolLimits): void {
		this.#limits = limits;
	}

	setBudget(budget: ServiceRetryBudget): void {
		this.#budget = budget;
	}

	/** Takes the targets that may get work; calls in progress at others go on. */
	setTargets(targets: readonly StageTarget[]): void {
		const listed = new Map(targets.map(target => [target.id, target]));
		for (const id of this.#targets.keys()) {
			if (!listed.has(id)) {
				this.#targets.delete(id);
			}
		}

		for (const target of targets) {
			if (!this.#targets.has(target.id)) {
				this.#targets.set(target.id, StageTargetState.create(target));
			}
		}
	}

	/** Plans with less room for a while: an earlier host's plans still hold results. */
	expectForeignResults(now: Ms): void {
		for (const target of this.#targets.values()) {
			target.expectForeignResults(now);
		}
	}

	/** Takes a job; `onEnd` is called once, perhaps at once. */
	submit(job: StageJob, onEnd: (outcome: StageJobOutcome) => void, now: Ms): void {
		this.#budget.recordRequest(now);
		this.#announced.delete(job.id);
		if (this.#targets.size === 0) {
			onEnd({failure: 'no_target', retryAfterMs: this.#limits.callMs});
			return;
		}

		this.#jobs.set(job.id, {
			job, results: Array.from({length: job.pieces}), tries: Array.from({length: job.pieces}, () => 0), waiting: Array.from({length: job.pieces}, (_, piece) => piece), calling: 0, onEnd,
		});
	}

	/** True while no piece of a job has been in a call. */
	isUntouched(id: string): boolean {
		const state = this.#jobs.get(id);
		return !state || state.tries.every(tries => tries === 0);
	}

	/** Drops a job whose results are not needed; pieces in a call end there and are told as unused. */
	cancel(id: string): void {
		const state = this.#jobs.get(id);
		if (state) {
			this.#fail(state, 'cancelled');
		}
	}

	/** A result was freed or has lapsed at its maker. */
	freed(handle: string, now: Ms): void {
		for (const target of this.#targets.values()) {
			if (target.freed(handle, now)) {
				return;
			}
		}
	}

	/** Counts a job that is likely to be submitted later. */
	announce(id: string, job: RankedJob, pieces: number): void {
		this.#announced.set(id, {job, pieces});
	}

	/** Forgets an announced job. */
	withdraw(id: string): void {
		this.#announced.delete(id);
	}

	/** Expected time of a job's call, and of the wait for a target that is in the middle of another one. */
	expectedCallMs(pieces: number): Ms {
		const callMs = this.#rate.callMs(pieces, this.#limits);
		return callMs + (this.#calls.size >= this.#targets.size ? callMs / (this.#targets.size + 1) : 0);
	}

	/** Time until a new job's pieces are likely to start: the work that goes before it, at the rate of the targets. */
	expectedWaitMs(now: Ms, job: RankedJob): Ms {
		const waiting = [...this.#jobs.values()].map(state => ({job: state.job, pieces: state.waiting.length}));
		const ahead = piecesAhead([...waiting, ...this.#announced.values()], job, now);
		const usable = [...this.#targets.values()].filter(target => target.isUsable(now));
		const freeMs = Math.min(...usable.map(target => target.calls < this.#limits.slots ? 0 : target.freeAt(now) - now));
		const perMs = job.startByMs < now ? this.#rate.sparePerMs(usable.length, this.#limits, now) : this.#rate.perMs(usable.length, this.#limits);
		return (Number.isFinite(freeMs) ? freeMs : 0) + (ahead / perMs);
	}

	/**
	 * Returns the calls to send now. `share` is this host's part of the work, less than 1 while other hosts use the same
	 * targets: it then makes fewer calls, each with more pieces.
	 */
	next(now: Ms, share = 1): StageCall[] {
		this.#dropLate(now);
		const calls: StageCall[] = [];
		const maxCalls = Math.max(1, Math.round(share * this.#targets.size * this.#limits.slots));
		const free = [...this.#targets.values()].filter(target => target.calls < this.#limits.slots && target.isUsable(now));
		// A fast target chooses first.
		free.sort((a, b) => a.slowness(now) - b.slowness(now));
		for (const target of free) {
			if (this.#calls.size >= maxCalls) {
				break;
			}

			const {pieces, isLate} = this.#choose(target, now);
			if (pieces.length > 0) {
				calls.push(this.#start(target, pieces, {now, isLate}));
				this.#rate.called({
					pieces: pieces.length, batch: this.#limits.batch, isPressed: this.backlog > 0, isLate,
				}, now);
			}
		}

		return calls;
	}

	/** Takes the end of a call. */
	ended(callId: number, end: StageCallOutcome, now: Ms): void {
		const running = this.#calls.get(callId);
		if (!running) {
			return;
		}

		this.#calls.delete(callId);
		const {call, startedMs, expectedMs} = running;
		const target = this.#targets.get(call.target.id);
		target?.ended(call.id, {end: end.kind, tookMs: now - startedMs, expectedMs}, now);
		if (end.kind === 'done' && end.results.some(result => 'problem' in result && result.problem === 'room')) {
			target?.roomWasShort(now);
		}

		for (const [index, piece] of call.pieces.entries()) {
			const result: PieceResult = end.kind === 'done' ? end.results[index] ?? {problem: 'error'} : {problem: 'error'};
			if ('handle' in result) {
				target?.made(result.handle, piece.job.resultBytes, {now, lapsesMs: now + this.#limits.resultTtlMs});
			}

			this.#pieceEnded(piece, result, end, now);
		}
	}

	/** Time at which `next` should be asked again though nothing happens; `undefined` when there is none. */
	wakeAt(now: Ms): Ms | undefined {
		if (this.backlog === 0) {
			return undefined;
		}

		const times = [...this.#targets.values()].map(target => target.usableAt(now)).filter(time => time > now);
		return Math.min(now + (this.#limits.callMs / 2), ...times);
	}

	#choose(target: StageTargetState, now: Ms): {pieces: CalledPiece[]; isLate: boolean} {
		const waiting = [...this.#jobs.values()].filter(state => state.waiting.length > 0);
		const jobs = orderJobs(waiting.map(state => ({job: state.job, pieces: state.waiting.length})), {
			now, zone: target.target.zone, nextPieces: this.#nextPieces(now),
		});
		if (jobs.length === 0 || this.#isLeftForFaster(target, now)) {
			return {pieces: [], isLate: false};
		}

		const chosen: CalledPiece[] = [];
		const mayStartLate = [...this.#calls.values()].filter(({call}) => call.isLate).length < Math.max(1, Math.floor(this.#targets.size * lateTargetShare));
		let roomMb = target.freeRoomMb(this.#limits.roomMb, this.#rate.callMs(0, this.#limits), now);
		let isLateCall = false;
		for (const {job, isLate} of jobs) {
			if (isLate && chosen.length === 0) {
				isLateCall = true;
			}

			if (isLateCall && !mayStartLate) {
				break;
			}

			const state = this.#jobs.get(job.id)!;
			const pieceMb = job.resultBytes / 1e6;
			const left = this.#limits.batch - chosen.length;
			const usableMb = isLate ? roomMb - (this.#limits.roomMb * onTimeRoomShare) : roomMb;
			const fitting = Math.max(0, Math.min(left, Math.floor(usableMb / Math.max(pieceMb, Number.EPSILON))));
			// Part of a job holds room and gains nothing, so a job goes whole unless it is larger than a call or the room.
			const isWhole = fitting >= state.waiting.length;
			if (!isWhole && (chosen.length > 0 || (left > fitting && !target.isEmpty))) {
				continue;
			}

			for (const piece of state.waiting.splice(0, fitting)) {
				chosen.push({job, piece});
			}

			roomMb -= pieceMb * Math.min(fitting, job.pieces);
			if (chosen.length >= this.#limits.batch) {
				break;
			}
		}

		return {pieces: chosen, isLate: isLateCall};
	}

	#isLeftForFaster(target: StageTargetState, now: Ms): boolean {
		const others = [...this.#targets.values()].filter(other => other !== target);
		return isLeftForFaster(target, others, {backlog: this.backlog, limits: this.#limits, now});
	}

	/** Pieces that the targets of each zone take in their next calls. */
	#nextPieces(now: Ms): Map<string, number> {
		const pieces = new Map<string, number>();
		for (const target of this.#targets.values()) {
			if (target.isUsable(now) && !isSlow(target, now) && target.freeAt(now) <= now + nearWaitMs) {
				const {zone} = target.target;
				pieces.set(zone, (pieces.get(zone) ?? 0) + this.#rate.piecesOfCall(this.#limits));
			}
		}

		return pieces;
	}

	#start(target: StageTargetState, pieces: readonly CalledPiece[], {now, isLate}: {now: Ms; isLate: boolean}): StageCall {
		const id = this.#nextCall++;
		const expectedMs = (this.#limits.callMs + (this.#limits.itemMs * pieces.length)) * Math.max(1, target.slowness(now));
		const call: StageCall = {
			id, target: target.target, pieces, isLate, expectedMs, timeoutMs: (expectedMs * callTimeoutFactor) + callTimeoutSlackMs,
		};
		this.#calls.set(id, {call, startedMs: now, expectedMs: expectedMs / Math.max(1, target.slowness(now))});
		target.started(id, {roomMb: pieces.reduce((sum, {job}) => sum + (job.resultBytes / 1e6), 0), endsMs: now + expectedMs});
		for (const {job, piece} of pieces) {
			const state = this.#jobs.get(job.id)!;
			state.calling++;
			state.tries[piece]!++;
		}

		return call;
	}

	#pieceEnded({job, piece}: CalledPiece, result: PieceResult, end: StageCallOutcome, now: Ms): void {
		const state = this.#jobs.get(job.id);
		if (!state) {
			if ('handle' in result) {
				this.options.onUnused(result.handle);
			}

			return;
		}

		state.calling--;
		if ('handle' in result) {
			state.results[piece] = result.handle;
			if (state.results.every(handle => handle !== undefined)) {
				this.#jobs.delete(job.id);
				state.onEnd({results: state.results});
			}

			return;
		}

		if (result.problem === 'late' || result.problem === 'gone') {
			this.#fail(state, result.problem === 'late' ? 'late' : 'input_gone');
		} else if (state.tries[piece]! >= maxPieceTries || !this.#budget.spend(now)) {
			this.#fail(state, end.kind === 'refused' ? 'overloaded' : 'failed');
		} else {
			state.waiting.unshift(piece);
		}
	}

	#dropLate(now: Ms): void {
		for (const state of this.#jobs.values()) {
			if (state.calling === 0 && now + this.#limits.callMs > state.job.deadlineMs) {
				this.#fail(state, 'late');
			}
		}

		this.#dropUnreached(now);
	}

	/** Rejects late jobs outside a call that spare capacity does not reach before their deadline. */
	#dropUnreached(now: Ms): void {
		const late = [...this.#jobs.values()].filter(state => state.waiting.length > 0 && isLate(state.job, now));
		if (late.length === 0) {
			return;
		}

		const usable = [...this.#targets.values()].filter(target => target.isUsable(now)).length;
		const perMs = Math.min(this.#rate.sparePerMs(usable, this.#limits, now), this.#rate.perMs(usable, this.#limits) * lateTargetShare);
		const queue = late.map(({job, waiting, calling}) => ({job, pieces: waiting.length, isCalling: calling > 0}));
		for (const {id, excessMs} of unreachedJobs(queue, {now, perMs, callMs: this.#limits.callMs})) {
			this.#fail(this.#jobs.get(id)!, 'overloaded', excessMs);
		}
	}

	#fail(state: JobState, failure: StageFailure, retryAfterMs = this.#limits.callMs): void {
		this.#jobs.delete(state.job.id);
		for (const handle of state.results) {
			if (handle !== undefined) {
				this.options.onUnused(handle);
			}
		}

		state.onEnd({failure, retryAfterMs});
	}
}
