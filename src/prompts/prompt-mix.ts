import type {Ms} from '../clock/index.js';

/** Shortest prompt that is told from shorter ones, and classes of length for each doubling. */
const minTokens = 64;
const classesPerDoubling = 2;
const classCount = 24;
/** Time in which the weight of a prompt falls to 1/e, so that the division follows a burst of one kind. */
const decayMs: Ms = 20_000;
/** Weight of the remembered prompts from which they are divided. */
const minWeight = 20;
/** Factor by which the expected wait decreases where prompts start to be divided, and that where they remain so. */
const startGain = 2;
const keepGain = 1.5;
/** Age of a division at which it is found again. */
const splitTtlMs: Ms = 500;

/** Division of prompts into long and short ones. */
export interface PromptSplit {
	/** Uncached tokens from which a prompt is long. */
	readonly longFromTokens: number;
	/** Share of the prefill work that is due to long prompts, from 0 to 1. */
	readonly longShare: number;
}

/** Prompts of one class of length: its index, their number and their uncached tokens. */
export type LengthRow = [lengthClass: number, count: number, tokens: number];

type LengthClass = {count: number; tokens: number; squares: number};

/**
 * Divides recent prompts into long and short ones by their uncached tokens, such that the wait is shortest if each kind has
 * the share of the engines that its work needs. At equal use, the mean wait of a kind grows with the ratio of its mean
 * square to its mean length (the formula of Pollaczek and Khinchine). Prompts of about the same length are not divided.
 *
 * @example
 * mix.record(1800, now);
 * const split = mix.split(now);
 */
export class PromptMix {
	static create(): PromptMix {
		return new PromptMix();
	}

	readonly #classes: LengthClass[] = Array.from({length: classCount}, () => ({count: 0, tokens: 0, squares: 0}));
	#decayedMs: Ms = 0;
	#split: PromptSplit | undefined;
	#splitMs: Ms = -Infinity;

	private constructor() {}

	/** Records a prompt with its uncached tokens, and returns it in the form in which other entry VMs can add it. */
	record(tokens: number, now: Ms): LengthRow {
		const row: LengthRow = [classOf(tokens), 1, Math.round(tokens)];
		this.add([row], now);
		return row;
	}

	/** Adds prompts of this or of other entry VMs; rows of unknown classes are ignored. */
	add(rows: readonly LengthRow[], now: Ms): void {
		this.#decay(now);
		for (const [index, count, tokens] of rows) {
			const lengthClass = this.#classes[index];
			if (lengthClass && count > 0) {
				addClass(lengthClass, {count, tokens, squares: tokens * tokens / count});
			}
		}
	}

	/** Returns the division of recent prompts; `undefined` if they are of about the same length, or few. */
	split(now: Ms): PromptSplit | undefined {
		if (now - this.#splitMs >= splitTtlMs) {
			this.#decay(now);
			this.#split = this.#findSplit();
			this.#splitMs = now;
		}

		return this.#split;
	}

	#decay(now: Ms): void {
		const factor = Math.exp((this.#decayedMs - now) / decayMs);
		this.#decayedMs = now;
		for (const lengthClass of this.#classes) {
			lengthClass.count *= factor;
			lengthClass.tokens *= factor;
			lengthClass.squares *= factor;
		}
	}

	#findSplit(): PromptSplit | undefined {
		const all = {count: 0, tokens: 0, squares: 0};
		for (const lengthClass of this.#classes) {
			addClass(all, lengthClass);
		}

		if (all.count < minWeight) {
			return undefined;
		}

		const short = {count: 0, tokens: 0, squares: 0};
		let shortestWait = waitOf(all) / (this.#split ? keepGain : startGain);
		let split: PromptSplit | undefined;
		for (const [index, lengthClass] of this.#classes.entries()) {
			addClass(short, lengthClass);
			const long = {count: all.count - short.count, tokens: all.tokens - short.tokens, squares: all.squares - short.squares};
			const wait = waitOf(short) + waitOf(long);
			if (short.count >= 1 && long.count >= 1 && wait < shortestWait) {
				shortestWait = wait;
				split = {longFromTokens: minTokens * (2 ** ((index + 1) / classesPerDoubling)), longShare: long.tokens / all.tokens};
			}
		}

		return split;
	}
}

function classOf(tokens: number): number {
	return Math.max(0, Math.min(classCount - 1, Math.floor(classesPerDoubling * Math.log2(Math.max(1, tokens) / minTokens))));
}

function addClass(sum: LengthClass, other: LengthClass): void {
	sum.count += other.count;
	sum.tokens += other.tokens;
	sum.squares += other.squares;
}

/** Returns a measure of the wait of all prompts of a kind together, which is comparable between kinds. */
function waitOf({count, tokens, squares}: LengthClass): number {
	return tokens > 0 ? count * squares / tokens : 0;
}
