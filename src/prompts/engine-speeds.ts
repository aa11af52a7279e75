import type {Ms} from '../clock/index.js';
import type {EngineKey} from './prompt-work.js';

/** Prefill rate of an engine before any is measured, in prompt tokens per ms, and bounds on the measured one. */
const initialTokensPerMs = 50;
const tokensPerMsBounds = {min: 10, max: 200};
/** Time to the first event without prefill, before any is measured. */
const initialBaseMs: Ms = 10;
/** Number of observations from which the measured rate is used, and of those that it remembers. */
const minFitted = 20;
const maxFitted = 400;
/** Weights of the remembered observations of one engine and of all. */
const maxEngineWeight = 8;
const maxFleetWeight = 200;
/** Expected time to the first event from which an observation counts in full; shorter ones say less of the engine. */
const fullWeightMs: Ms = 60;
/** Bounds on the ratio of one observation: beyond, work that is not known here explains it. */
const ratioBounds = {min: 0.2, max: 6};
/** Time in which the effect of a slower observation than usual falls to 1/e: engines are slowed down for about 0.6 s. */
const slowdownDecayMs: Ms = 400;
/** Weight of the fleet's mean among the observations of an engine. */
const priorWeight = 1;
/** Time without observations after which an engine is forgotten. */
const engineTtlMs: Ms = 600_000;

/** Time to a first event that was measured, and the tokens that were to be prefilled until then. */
export interface FirstEventTime {
	readonly tookMs: Ms;
	readonly tokens: number;
}

/** Ratio of a measured time to the expected one, and its weight from 0 to 1. */
export interface SpeedObservation {
	readonly ratio: number;
	readonly weight: number;
}

type Line = {readonly baseMs: Ms; readonly msPerToken: number};
type EngineSpeed = {logRatio: number; weight: number; latestLogRatio: number; latestMs: Ms};

/**
 * Speeds of engines, measured by the times to the first event relative to the tokens that were to be prefilled. The usual
 * time is a line through all measured ones; an engine is slower by the mean ratio of its own times to that line, and for
 * a short time by its latest one.
 *
 * @example
 * const observation = speeds.measure({tookMs: 92, tokens: 1800});
 * speeds.observe(engine, observation, now);
 * speeds.slowness(engine, now);
 */
export class EngineSpeeds {
	static create(): EngineSpeeds {
		return new EngineSpeeds();
	}

	/** Engines with the latest observation last. */
	readonly #engines = new Map<EngineKey, EngineSpeed>();
	readonly #fleet = {logRatio: 0, weight: 0};
	/** Weighted sums of the fitted line: number, tokens, times, squares of tokens, products. */
	#fit = {
		n: 0, x: 0, y: 0, xx: 0, xy: 0,
	};

	/** Line of usual times through the sums; `undefined` after a change of them. */
	#fitted: Line | undefined;

	private constructor() {}

	/** Prefill rate of an engine of usual speed, in prompt tokens per ms. */
	get tokensPerMs(): number {
		return 1 / this.#line().msPerToken;
	}

	/** Compares a measured time to the usual one; the observation may be given to other entry VMs. */
	measure({tookMs, tokens}: FirstEventTime): SpeedObservation {
		const {baseMs, msPerToken} = this.#line();
		const expectedMs = Math.max(1, baseMs + (tokens * msPerToken));
		const ratio = clampRatio(tookMs / expectedMs);
		this.#addToFit(tokens, ratio * expectedMs);
		return {ratio, weight: Math.min(1, expectedMs / fullWeightMs)};
	}

	/** Records an observation of this or of another entry VM. */
	observe(engine: EngineKey, {ratio, weight}: SpeedObservation, now: Ms): void {
		const logRatio = Math.log(clampRatio(ratio));
		const speed = this.#engines.get(engine) ?? {
			logRatio, weight: 0, latestLogRatio: logRatio, latestMs: now,
		};
		addToMean(speed, logRatio, weight, maxEngineWeight);
		addToMean(this.#fleet, logRatio, weight, maxFleetWeight);
		speed.latestLogRatio = logRatio;
		speed.latestMs = now;
		this.#engines.delete(engine);
		this.#engines.set(engine, speed);
		for (const [oldest, {latestMs}] of this.#engines) {
			if (now - latestMs < engineTtlMs) {
				break;
			}

			this.#engines.delete(oldest);
		}
	}

	/** Returns the time that work takes at an engine as a multiple of the usual one; 1 for an engine without observations. */
	slowness(engine: EngineKey, now: Ms): number {
		const speed = this.#engines.get(engine);
		if (!speed) {
			return 1;
		}

		const usual = (speed.logRatio - this.#fleet.logRatio) * speed.weight / (speed.weight + priorWeight);
		const excess = Math.max(0, speed.latestLogRatio - speed.logRatio) * Math.exp((speed.latestMs - now) / slowdownDecayMs);
		return Math.exp(usual + excess);
	}

	/** Returns the time since the latest observation of an engine; `undefined` without one. */
	ageMs(engine: EngineKey, now: Ms): Ms | undefined {
		const speed = this.#engines.get(engine);
		return speed && now - speed.latestMs;
	}

	#addToFit(x: number, y: number): void {
		this.#fitted = undefined;
		const keep = 1 - (1 / maxFitted);
		const {n, x: sumX, y: sumY, xx, xy} = this.#fit;
		this.#fit = {
			n: (n * keep) + 1, x: (sumX * keep) + x, y: (sumY * keep) + y, xx: (xx * keep) + (x * x), xy: (xy * keep) + (x * y),
		};
	}

	/** Returns the line of usual times, as far as the observations determine one. */
	#line(): Line {
		this.#fitted ??= this.#fitLine();
		return this.#fitted;
	}

	#fitLine(): Line {
		const {n, x, y, xx, xy} = this.#fit;
		const variance = (n * xx) - (x * x);
		const initial = {baseMs: initialBaseMs, msPerToken: 1 / initialTokensPerMs};
		if (n < minFitted) {
			return initial;
		}

		// Prompts of one length determine no line.
		const measured = variance < 0.01 * x * x ? initial.msPerToken : ((n * xy) - (x * y)) / variance;
		const msPerToken = Math.max(1 / tokensPerMsBounds.max, Math.min(1 / tokensPerMsBounds.min, measured));
		return {baseMs: Math.max(0, (y - (msPerToken * x)) / n), msPerToken};
	}
}

function clampRatio(ratio: number): number {
	return Math.max(ratioBounds.min, Math.min(ratioBounds.max, ratio));
}

function addToMean(mean: {logRatio: number; weight: number}, logRatio: number, weight: number, maxWeight: number): void {
	mean.weight = Math.min(maxWeight, mean.weight + weight);
	mean.logRatio += (logRatio - mean.logRatio) * Math.min(1, weight / Math.max(weight, mean.weight));
}
