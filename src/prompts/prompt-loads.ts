import type {Clock, Ms} from '../clock/index.js';
import {ListMemo, type RelayTarget} from '../registry/index.js';
import type {ServiceDeclaration} from '../routes/index.js';
import {divideEngines, type DividedEngines, type RankedEngine} from './engine-sides.js';
import {engineKey} from './engine-key.js';
import {EngineSpeeds, type SpeedObservation} from './engine-speeds.js';
import type {PromptMetrics} from './prompt-metrics.js';
import {PromptMix, type LengthRow, type PromptSplit} from './prompt-mix.js';
import {
	noWork, PromptWork, type EngineKey, type WorkSum,
} from './prompt-work.js';

/** Dependencies of {@link PromptLoads}. */
export interface PromptLoadsOptions {
	readonly clock: Pick<Clock, 'now'>;
	readonly service: (name: string) => ServiceDeclaration | undefined;
	/** Ranks names for a key, identically on every entry VM. */
	readonly rank: (key: string, names: readonly string[]) => readonly string[];
	/** Returns the group of zones within which the engines of a service are divided, such as a region. */
	readonly groupOf: (zone: string) => string;
	/** Called with what other entry VMs need to know as well. */
	readonly listener?: PromptLoadListener | undefined;
	readonly metrics?: Pick<PromptMetrics, 'recordPrompt'> | undefined;
}

/** Receives what other entry VMs need to know. */
export interface PromptLoadListener {
	/** Called with each observation of the speed of an engine. */
	onObservation(engine: EngineKey, observation: SpeedObservation): void;
	/** Called with each prompt that is sent. */
	onLength(service: string, row: LengthRow): void;
	/** Called when the work at an engine has changed. */
	onWork(engine: EngineKey): void;
}

/** What is known of an engine when a prompt is to be sent. */
export interface EngineOutlook {
	/** Tokens that the engine is still to prefill, of own prompts and of those of others. */
	readonly aheadTokens: number;
	/** Time that work takes there as a multiple of the usual one. */
	readonly slowness: number;
	/** Age of the oldest report in the tokens, and of the latest measured time in the slowness; 0 and `undefined` without one. */
	readonly reportAgeMs: Ms;
	readonly speedAgeMs: Ms | undefined;
}

/** Length of a prompt and of its longest output. */
export interface PromptSize {
	readonly inputTokens: number;
	readonly maxOutputTokens: number;
}

/** A prompt that is sent to an engine. */
export interface StartedPrompt extends PromptSize {
	/** Prompt tokens that the engine has probably not cached. */
	readonly uncachedTokens: number;
	/** Whether its first event tells that it has been prefilled. */
	readonly isStream: boolean;
	/** Time that the network takes to the engine and back. */
	readonly roundTripMs: Ms;
	/** Kind of the prompt beside others, and whether the engine is kept for the other kind; absent if prompts are not divided. */
	readonly side?: {readonly kind: EngineSide['kind']; readonly isSpilled: boolean} | undefined;
}

/** Receives the first event and the end of a prompt that was sent. */
export interface PromptTicket {
	/** Records the first event; only the first call counts. */
	recordFirstEvent(): void;
	/** Records the end. */
	end(): void;
}

/** Engines that a prompt prefers, as other prompts are much longer or shorter. */
export interface EngineSide {
	readonly kind: 'long' | 'short';
	/** Whether an engine is kept for prompts of this kind. */
	readonly prefers: (id: string) => boolean;
}

/** Engines of a service in the order in which they are divided, and the latest division. */
type Ranking = {readonly engines: readonly RankedEngine[]; divided: {readonly split: PromptSplit; readonly engines: DividedEngines} | undefined};

/**
 * What this entry VM knows of the prompt work at model engines, and what it concludes for the choice of an engine.
 *
 * @example
 * const {aheadTokens, slowness} = loads.outlook(engine);
 * const ticket = loads.start(engine, prompt);
 * ticket.recordFirstEvent();
 * ticket.end();
 */
export class PromptLoads {
	static create(options: PromptLoadsOptions): PromptLoads {
		return new PromptLoads(options);
	}

	readonly work = PromptWork.create();
	readonly speeds = EngineSpeeds.create();
	readonly #mixes = new Map<string, PromptMix>();
	readonly #rankings = ListMemo.create((engines: readonly RelayTarget[]) => this.#rank(engines));

	private constructor(private readonly options: PromptLoadsOptions) {}

	/** Whether the targets of a service are model engines. */
	isActive(service: string): boolean {
		return this.options.service(service)?.engineSlots !== undefined;
	}

	/** Returns what is known of an engine. */
	outlook(engine: RelayTarget): EngineOutlook {
		const now = this.options.clock.now();
		const key = engineKey(engine);
		const slowness = this.speeds.slowness(key, now);
		const reported = this.work.reported(key, now, this.speeds.tokensPerMs / slowness);
		return {
			aheadTokens: this.work.own(key, now).pendingTokens + reported.pendingTokens, slowness, reportAgeMs: reported.ageMs, speedAgeMs: this.speeds.ageMs(key, now),
		};
	}

	/** Returns the engines that a prompt prefers; `undefined` if the recent prompts are of about the same length. */
	side(engines: readonly RelayTarget[], uncachedTokens: number): EngineSide | undefined {
		const service = engines[0]?.entry.service;
		const split = service === undefined ? undefined : this.#mixes.get(service)?.split(this.options.clock.now());
		if (!split) {
			return undefined;
		}

		const ranking = this.#rankings.of(engines);
		if (ranking.divided?.split !== split) {
			ranking.divided = {split, engines: divideEngines(ranking.engines, split)};
		}

		const kind = uncachedTokens >= split.longFromTokens ? 'long' : 'short';
		const preferred = ranking.divided.engines[kind];
		return {kind, prefers: id => preferred.has(id)};
	}

	#rank(engines: readonly RelayTarget[]): Ranking {
		const zones = new Map(engines.map(({id, entry}) => [id, entry.zone]));
		const ids = this.options.rank(`prompts ${engines[0]!.entry.service}`, [...zones.keys()].toSorted());
		return {engines: ids.map(id => ({id, group: this.options.groupOf(zones.get(id)!)})), divided: undefined};
	}

	/** Whether the memory of an engine has room for a prompt and its output, as far as is known. */
	hasRoom(engine: RelayTarget, prompt: PromptSize): boolean {
		const {service} = engine.entry;
		const memoryTokens = this.#memoryTokens(service);
		return (memoryTokens === Infinity && !this.isActive(service)) || memoryTokens - this.heldTokens(engine) >= memoryOf(prompt);
	}

	/** Whether an engine of a service that runs nothing else has room for a prompt and its output. */
	fits(service: string, prompt: PromptSize): boolean {
		return this.#memoryTokens(service) >= memoryOf(prompt);
	}

	/** Returns the tokens for which the requests at an engine need memory. */
	heldTokens(engine: RelayTarget): number {
		const now = this.options.clock.now();
		const key = engineKey(engine);
		return this.work.own(key, now).heldTokens + this.work.reported(key, now, this.speeds.tokensPerMs).heldTokens;
	}

	/** Returns the work at all engines together, of this entry VM and as others have reported it. */
	totals(): {readonly own: WorkSum; readonly reported: WorkSum} {
		const now = this.options.clock.now();
		let [own, reported]: WorkSum[] = [noWork, noWork];
		for (const key of this.work.engines()) {
			own = addWork(own!, this.work.own(key, now));
			reported = addWork(reported!, this.work.reported(key, now, this.speeds.tokensPerMs));
		}

		return {own: own!, reported: reported!};
	}

	/** Records that a prompt is sent to an engine. */
	start(engine: RelayTarget, prompt: StartedPrompt): PromptTicket | undefined {
		const {service} = engine.entry;
		if (!this.isActive(service)) {
			return undefined;
		}

		const sentMs = this.options.clock.now();
		const key = engineKey(engine);
		const {aheadTokens, slowness} = this.outlook(engine);
		const tokensPerMs = this.speeds.tokensPerMs / slowness;
		const {uncachedTokens, isStream, roundTripMs} = prompt;
		const {listener, metrics} = this.options;
		metrics?.recordPrompt(prompt.side);
		listener?.onLength(service, this.#mix(service).record(uncachedTokens, sentMs));
		const entry = this.work.start(key, {
			pendingTokens: uncachedTokens, heldTokens: memoryOf(prompt), aheadMs: aheadTokens / tokensPerMs, prefillMs: uncachedTokens / tokensPerMs,
		}, sentMs);
		listener?.onWork(key);
		return {
			recordFirstEvent: () => {
				const now = this.options.clock.now();
				if (!entry.isPrefilled && isStream) {
					const observation = this.speeds.measure({tookMs: Math.max(1, now - sentMs - roundTripMs), tokens: aheadTokens + uncachedTokens});
					this.speeds.observe(key, observation, now);
					listener?.onObservation(key, observation);
				}

				this.work.recordFirstEvent(entry);
				listener?.onWork(key);
			},
			end: () => {
				this.work.end(entry);
				listener?.onWork(key);
			},
		};
	}

	/** Adds prompts that other entry VMs have sent to a service; services that are not known here are ignored. */
	addLengths(service: string, rows: readonly LengthRow[]): void {
		if (this.isActive(service)) {
			this.#mix(service).add(rows, this.options.clock.now());
		}
	}

	#memoryTokens(service: string): number {
		return this.options.service(service)?.engineMemoryTokens ?? Infinity;
	}

	#mix(service: string): PromptMix {
		const mix = this.#mixes.get(service) ?? PromptMix.create();
		this.#mixes.set(service, mix);
		return mix;
	}
}

function memoryOf({inputTokens, maxOutputTokens}: PromptSize): number {
	return inputTokens + maxOutputTokens;
}

function addWork(a: WorkSum, b: WorkSum): WorkSum {
	return {pendingTokens: a.pendingTokens + b.pendingTokens, heldTokens: a.heldTokens + b.heldTokens};
}
