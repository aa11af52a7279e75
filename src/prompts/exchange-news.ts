import {linkLimits} from '../links/index.js';
import type {SpeedObservation} from './engine-speeds.js';
import type {LengthRow} from './prompt-mix.js';
import type {EngineKey, WorkSource} from './prompt-work.js';

/** Maximum number of news that wait to be sent. */
const maxNews = 5000;

/** Measured speeds and lengths of prompts in the form in which they are sent. */
export interface SentNews {
	/** Engine, mean ratio and weight of the observations, both in hundredths, which are shorter in a message than fractions. */
	readonly speeds: Array<[engine: EngineKey, ratioPercent: number, weightPercent: number]>;
	/** Services with the lengths of prompts that were sent to them. */
	readonly lengths: Array<[service: string, rows: LengthRow[]]>;
}

/** Sums of some news: speeds by engine, with the number of observations, and lengths by service and class. */
type Sums = {readonly speeds: Map<EngineKey, SpeedSum>; readonly lengths: Map<string, Map<number, LengthSum>>};
type SpeedSum = {logRatio: number; weight: number; count: number};
type LengthSum = {count: number; tokens: number};

/**
 * Measured speeds and lengths of prompts that are to be told to peers, with the peer that they come from; `undefined` for
 * this entry VM. They are summed as they come in, since a leader sends them to each of its peers.
 *
 * @example
 * news.addSpeed(engine, observation, undefined);
 * const {speeds, lengths} = news.except(link);
 */
export class ExchangeNews {
	static create(): ExchangeNews {
		return new ExchangeNews();
	}

	readonly #bySource = new Map<WorkSource | undefined, Sums>();
	#size = 0;
	#all: {readonly sums: Sums; readonly sent: SentNews} | undefined;

	private constructor() {}

	addSpeed(engine: EngineKey, {ratio, weight}: SpeedObservation, source: WorkSource | undefined): void {
		if (this.#size < maxNews) {
			this.#size++;
			addSpeed(this.#sumsOf(source), engine, {logRatio: weight * Math.log(ratio), weight, count: 1});
		}
	}

	/** Adds lengths of prompts; of classes beyond those that a message may have, none is passed on. */
	addLengths(service: string, rows: readonly LengthRow[], source: WorkSource | undefined): void {
		if (this.#size < maxNews) {
			this.#size += rows.length;
			const sums = this.#sumsOf(source);
			for (const [index, count, tokens] of rows) {
				if (index < linkLimits.lengthClasses) {
					addLength(sums, service, index, {count, tokens: Math.round(tokens)});
				}
			}
		}
	}

	/** Returns the news from some sources, summed by engine, and by service and class of length. */
	select(isWanted: (source: WorkSource | undefined) => boolean): SentNews {
		return toSent(this.#sum(isWanted));
	}

	/** Returns the news from all sources but one, summed like those of `select`. */
	except(source: WorkSource): SentNews {
		if (!this.#all) {
			const sums = this.#sum(() => true);
			this.#all = {sums, sent: toSent(sums)};
		}

		const part = this.#bySource.get(source);
		return part ? toSent(subtract(this.#all.sums, part)) : this.#all.sent;
	}

	/** Drops all news, once they are sent. */
	clear(): void {
		this.#bySource.clear();
		this.#size = 0;
		this.#all = undefined;
	}

	#sumsOf(source: WorkSource | undefined): Sums {
		this.#all = undefined;
		const sums = this.#bySource.get(source) ?? createSums();
		this.#bySource.set(source, sums);
		return sums;
	}

	#sum(isWanted: (source: WorkSource | undefined) => boolean): Sums {
		const sum = createSums();
		for (const [source, {speeds, lengths}] of this.#bySource) {
			if (isWanted(source)) {
				for (const [engine, speed] of speeds) {
					addSpeed(sum, engine, speed);
				}

				for (const [service, rows] of lengths) {
					for (const [index, length] of rows) {
						addLength(sum, service, index, length);
					}
				}
			}
		}

		return sum;
	}
}

function createSums(): Sums {
	return {speeds: new Map(), lengths: new Map()};
}

function addSpeed({speeds}: Sums, engine: EngineKey, {logRatio, weight, count}: SpeedSum): void {
	const sum = speeds.get(engine);
	if (sum) {
		sum.logRatio += logRatio;
		sum.weight += weight;
		sum.count += count;
	} else {
		speeds.set(engine, {logRatio, weight, count});
	}
}

function addLength({lengths}: Sums, service: string, index: number, {count, tokens}: LengthSum): void {
	const rows = lengths.get(service) ?? new Map<number, LengthSum>();
	lengths.set(service, rows);
	const sum = rows.get(index);
	if (sum) {
		sum.count += count;
		sum.tokens += tokens;
	} else {
		rows.set(index, {count, tokens});
	}
}

/** Returns what is left of sums without a part of them. */
function subtract(all: Sums, part: Sums): Sums {
	const left = createSums();
	for (const [engine, speed] of all.speeds) {
		const own = part.speeds.get(engine);
		// The weights of a part that is all need not cancel out exactly.
		if (!own) {
			left.speeds.set(engine, speed);
		} else if (own.count < speed.count) {
			left.speeds.set(engine, {logRatio: speed.logRatio - own.logRatio, weight: speed.weight - own.weight, count: speed.count - own.count});
		}
	}

	for (const [service, rows] of all.lengths) {
		const ownRows = part.lengths.get(service);
		for (const [index, {count, tokens}] of rows) {
			const own = ownRows?.get(index);
			if (!own || own.count < count) {
				addLength(left, service, index, {count: count - (own?.count ?? 0), tokens: tokens - (own?.tokens ?? 0)});
			}
		}
	}

	return left;
}

function toSent({speeds, lengths}: Sums): SentNews {
	const sent: SentNews = {speeds: [], lengths: []};
	for (const [engine, {logRatio, weight}] of speeds) {
		if (weight > 0) {
			sent.speeds.push([engine, toPercent(Math.exp(logRatio / weight)), toPercent(weight)]);
		}
	}

	for (const [service, rows] of lengths) {
		sent.lengths.push([service, Array.from(rows, ([index, {count, tokens}]): LengthRow => [index, count, tokens])]);
	}

	return sent;
}

function toPercent(value: number): number {
	return Math.max(1, Math.round(value * 100));
}
