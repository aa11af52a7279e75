import type {Ms} from '../clock/index.js';
import type {StagePoolLimits} from '../routes/index.js';
import {pieceKindKey, type PieceKind} from './piece-kind.js';

/** Step of a correction, as a fraction of what would explain the whole difference of the latest call. */
const learningRate = 0.3;
/** Weight of the fixed time against one piece in a correction: calls of few pieces correct the fixed time, full ones that of pieces. */
const fixedWeight = 4;
/** Maximum difference of one call that counts, as a fraction of its expected time: a target may be slowed down for a moment. */
const maxDifference = 0.5;
/** Bounds of the learned time of a piece, as multiples of the declared one. */
const pieceBounds = {min: 0.05, max: 5};
/** Bounds of the correction of the fixed time, as fractions of the declared one. */
const fixedBounds = {min: -0.3, max: 1};
/** Weight of the latest call in the moving average of the mean time of a piece. */
const workSmoothing = 0.15;
/** Number of calls from which on the learned time of a kind is used for timeouts even if it is shorter than the declared one. */
const minCalls = 20;
/** Maximum number of kinds that are remembered; the one used least recently is dropped. */
const maxKinds = 200;

type KindState = {
	pieceMs: Ms;
	calls: number;
};

/** Pieces of one kind in a call. */
export interface KindPieces {
	readonly kind: PieceKind;
	readonly pieces: number;
}

/**
 * Learns the time of pieces by kind, and the fixed time of calls, from the measured times of calls that may hold several
 * kinds (normalized least mean squares). Declared times are approximate: pieces of one service with small results may
 * take a third of the time of those with large ones.
 *
 * @example
 * times.record([{kind, pieces: 12}], 250, limits);
 * times.pieceMs(kind, limits); // less than the declared 14
 */
export class PieceTimes {
	static create(): PieceTimes {
		return new PieceTimes();
	}

	/** Kinds by key, in the order of their latest use. */
	readonly #kinds = new Map<string, KindState>();
	#fixedDifferenceMs: Ms = 0;
	/** Moving average of the time of a piece over all kinds, as a multiple of the declared one. */
	#meanPieceFactor = 1;

	private constructor() {}

	/** Expected fixed time of a call. */
	fixedMs({callMs}: StagePoolLimits): Ms {
		return callMs + clamp(this.#fixedDifferenceMs, callMs, fixedBounds);
	}

	/** Expected time of a piece; the declared one for a kind that has not been measured. */
	pieceMs(kind: PieceKind, {pieceMs}: StagePoolLimits): Ms {
		return this.#kinds.get(pieceKindKey(kind))?.pieceMs ?? pieceMs;
	}

	/**
	 * Expected time of a call with the pieces of one job. The pieces of others that share it do not count: with them, plans
	 * of several stages seem to need an earlier start than they do, and go before more valuable ones of one stage.
	 */
	jobCallMs({kind, pieces}: KindPieces, limits: StagePoolLimits): Ms {
		return this.fixedMs(limits) + (this.pieceMs(kind, limits) * Math.min(limits.batch, pieces));
	}

	/** Expected time of a call at a target of usual speed. */
	callMs(parts: readonly KindPieces[], limits: StagePoolLimits): Ms {
		return this.fixedMs(limits) + this.#workMs(parts, limits);
	}

	/** Time by which a call at a target of usual speed is expected to have ended for sure: kinds with few calls count with the declared time at least. */
	safeCallMs(parts: readonly KindPieces[], limits: StagePoolLimits): Ms {
		let ms = Math.max(this.fixedMs(limits), limits.callMs);
		for (const {kind, pieces} of parts) {
			const calls = this.#kinds.get(pieceKindKey(kind))?.calls ?? 0;
			ms += pieces * (calls < minCalls ? Math.max(limits.pieceMs, this.pieceMs(kind, limits)) : this.pieceMs(kind, limits));
		}

		return ms;
	}

	/** Returns the limits with the learned fixed time and the learned mean time of a piece in place of the declared ones. */
	learnedLimits(limits: StagePoolLimits): StagePoolLimits {
		return {...limits, callMs: this.fixedMs(limits), pieceMs: limits.pieceMs * this.#meanPieceFactor};
	}

	/** Records the time of a call in which every piece ran, as a target of usual speed would have taken. */
	record(parts: readonly KindPieces[], tookMs: Ms, limits: StagePoolLimits): void {
		const counts = new Map<string, number>();
		for (const {kind, pieces} of parts) {
			const key = pieceKindKey(kind);
			this.#touch(key, limits);
			counts.set(key, (counts.get(key) ?? 0) + pieces);
		}

		const expectedMs = this.callMs(parts, limits);
		const differenceMs = Math.max(-maxDifference * expectedMs, Math.min(maxDifference * expectedMs, tookMs - expectedMs));
		let norm = fixedWeight ** 2;
		let total = 0;
		for (const pieces of counts.values()) {
			norm += pieces ** 2;
			total += pieces;
		}

		const step = learningRate * differenceMs / norm;
		this.#fixedDifferenceMs = clamp(this.#fixedDifferenceMs + (step * (fixedWeight ** 2)), limits.callMs, fixedBounds);
		for (const [key, pieces] of counts) {
			const state = this.#kinds.get(key)!;
			state.pieceMs = clamp(state.pieceMs + (step * pieces), limits.pieceMs, pieceBounds);
			state.calls++;
		}

		const workMs = this.#workMs(parts, limits);
		if (total > 0 && limits.pieceMs > 0) {
			this.#meanPieceFactor += workSmoothing * ((workMs / total / limits.pieceMs) - this.#meanPieceFactor);
		}
	}

	#workMs(parts: readonly KindPieces[], limits: StagePoolLimits): Ms {
		let ms = 0;
		for (const {kind, pieces} of parts) {
			ms += pieces * this.pieceMs(kind, limits);
		}

		return ms;
	}

	/** Creates a kind or marks it as used. */
	#touch(key: string, limits: StagePoolLimits): void {
		const state = this.#kinds.get(key) ?? {pieceMs: limits.pieceMs, calls: 0};
		this.#kinds.delete(key);
		this.#kinds.set(key, state);
		if (this.#kinds.size > maxKinds) {
			const [oldest] = this.#kinds.keys();
			this.#kinds.delete(oldest!);
		}
	}
}

/** Limits a value to multiples of a unit. */
function clamp(value: number, unit: number, {min, max}: {min: number; max: number}): number {
	return Math.max(min * unit, Math.min(max * unit, value));
}
