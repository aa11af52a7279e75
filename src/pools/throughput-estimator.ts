import type {Ms} from '../clock/index.js';
import type {StagePoolLimits} from '../routes/index.js';

/** Weight of the latest call in the moving averages of the batch fill and of the pieces per call. */
const batchSmoothing = 0.15;
/** Window over which the throughput used by on-time jobs is measured. */
const onTimeWindowMs: Ms = 2000;
/** Lower bound of the spare throughput, as a fraction of the total. */
const minSpareShare = 0.05;

/**
 * Estimates the throughput of a pool. The batch size reached in practice is learned from calls that leave a backlog: it is
 * often smaller than the declared batch, since memory is limited and jobs are not split.
 *
 * @internal
 */
export class ThroughputEstimator {
	static create(): ThroughputEstimator {
		return new ThroughputEstimator();
	}

	/** Fraction of the declared batch that calls fill while there is a backlog. */
	#batchFill = 1;
	/** Moving average of the pieces per call. */
	#averagePieces = 0;
	readonly #onTimeCalls: Array<{at: Ms; pieces: number; expectedMs: Ms}> = [];
	#firstCallMs: Ms | undefined;

	/**
	 * Records a call that was sent; `hasBacklog` tells whether pieces were left waiting. Without a backlog, a call counts as
	 * full. Late calls do not count for the fill: they leave memory to on-time jobs, and forecasts by their size would make
	 * all further jobs late.
	 */
	recordCall(call: {pieces: number; batch: number; hasBacklog: boolean; isLate: boolean; expectedMs: Ms}, now: Ms): void {
		this.#firstCallMs ??= now;
		const fill = call.hasBacklog ? call.pieces / call.batch : 1;
		if (!call.isLate) {
			this.#batchFill += batchSmoothing * (fill - this.#batchFill);
		}

		this.#averagePieces += batchSmoothing * (call.pieces - this.#averagePieces);
		// Calls are dropped here too: their sum is asked for only while there is late work.
		this.#dropOldCalls(now);
		if (!call.isLate) {
			this.#onTimeCalls.push({at: now, pieces: call.pieces, expectedMs: call.expectedMs});
		}
	}

	/** Number of on-time calls that are remembered. */
	get rememberedCalls(): number {
		return this.#onTimeCalls.length;
	}

	/** Fraction of the time of this many slots that on-time calls have used recently; `undefined` until it has been measured for a whole window. */
	onTimeShare(slots: number, now: Ms): number | undefined {
		if (this.#firstCallMs === undefined || now - this.#firstCallMs < onTimeWindowMs) {
			return undefined;
		}

		this.#dropOldCalls(now);
		return this.#onTimeCalls.reduce((sum, {expectedMs}) => sum + expectedMs, 0) / (Math.max(1, slots) * onTimeWindowMs);
	}

	#dropOldCalls(now: Ms): void {
		const firstKept = this.#onTimeCalls.findIndex(({at}) => at >= now - onTimeWindowMs);
		this.#onTimeCalls.splice(0, firstKept === -1 ? this.#onTimeCalls.length : firstKept);
	}

	/** Expected pieces per call while there is a backlog. */
	piecesPerCall({batch}: StagePoolLimits): number {
		return Math.max(1, batch * this.#batchFill);
	}

	/** Expected time of a call with this many pieces of one job; other jobs usually share the call. */
	expectedCallMs(pieces: number, {batch, callMs, pieceMs}: StagePoolLimits): Ms {
		return callMs + (pieceMs * Math.min(batch, Math.max(pieces, this.#averagePieces)));
	}

	/** Throughput of this many targets, in pieces per ms. */
	piecesPerMs(targets: number, limits: StagePoolLimits): number {
		const pieces = this.piecesPerCall(limits);
		return (Math.max(1, targets) * pieces) / (limits.callMs + (pieces * limits.pieceMs));
	}

	/** Throughput that on-time jobs leave for late ones, in pieces per ms. */
	sparePiecesPerMs(targets: number, limits: StagePoolLimits, now: Ms): number {
		const piecesPerMs = this.piecesPerMs(targets, limits);
		this.#dropOldCalls(now);
		const usedPiecesPerMs = this.#onTimeCalls.reduce((sum, {pieces}) => sum + pieces, 0) / onTimeWindowMs;
		return Math.max(piecesPerMs * minSpareShare, piecesPerMs - usedPiecesPerMs);
	}
}
