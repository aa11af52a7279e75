import type {Ms} from '../clock/index.js';
import type {StagePoolLimits} from '../routes/index.js';

/** Weight of the latest call in the moving average of the pieces of a call. */
const smoothing = 0.15;
/** Time over which the work of on-time jobs is measured. */
const windowMs: Ms = 2000;
/** Least part of the rate that is left for late jobs in an estimate. */
const leastSpareShare = 0.05;

/**
 * Estimates how fast a pool works off its queue. Calls that leave jobs behind show how many pieces fit in practice: room
 * and whole jobs often allow fewer than the declared batch.
 *
 * @internal
 */
export class PoolRate {
	static create(): PoolRate {
		return new PoolRate();
	}

	/** Part of the declared batch that a call takes while jobs wait. */
	#fill = 1;
	/** Pieces of a call on average. */
	#usualPieces = 0;
	#onTime: Array<{at: Ms; pieces: number}> = [];

	/** A call was sent; `isPressed` tells that jobs were left waiting. */
	called(call: {pieces: number; batch: number; isPressed: boolean; isLate: boolean}, now: Ms): void {
		const fill = call.isPressed ? call.pieces / call.batch : 1;
		this.#fill += smoothing * (fill - this.#fill);
		this.#usualPieces += smoothing * (call.pieces - this.#usualPieces);
		if (!call.isLate) {
			this.#onTime.push({at: now, pieces: call.pieces});
		}
	}

	/** Pieces of a call while jobs wait. */
	piecesOfCall({batch}: StagePoolLimits): number {
		return Math.max(1, batch * this.#fill);
	}

	/** Time that a job of so many pieces spends in its call, which it usually shares with others. */
	callMs(pieces: number, {batch, callMs, itemMs}: StagePoolLimits): Ms {
		return callMs + (itemMs * Math.min(batch, Math.max(pieces, this.#usualPieces)));
	}

	/** Pieces a ms that so many targets work off. */
	perMs(targets: number, limits: StagePoolLimits): number {
		const pieces = this.piecesOfCall(limits);
		return (Math.max(1, targets) * pieces) / (limits.callMs + (pieces * limits.itemMs));
	}

	/** Pieces a ms that on-time jobs leave for late ones. */
	sparePerMs(targets: number, limits: StagePoolLimits, now: Ms): number {
		const perMs = this.perMs(targets, limits);
		this.#onTime = this.#onTime.filter(({at}) => at >= now - windowMs);
		const usedPerMs = this.#onTime.reduce((sum, {pieces}) => sum + pieces, 0) / windowMs;
		return Math.max(perMs * leastSpareShare, perMs - usedPerMs);
	}
}
