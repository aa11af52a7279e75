import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {Pool, TargetDeclaration} from '../config/index.js';
import type {Random} from '../random/index.js';
import {estimateTokens, PrefixCache} from '../stand-ins/prefix-cache.js';
import {standInPromptHash, standInToken} from '../stand-ins/index.js';
import type {
	CacheEvent, Chunk, GenerateCall, TargetLoad,
} from '../targets/index.js';
import {FakeFaults} from './active-faults.js';
import {LoadHistory} from './load-history.js';
import type {RunLedger} from './execution-recorder.js';

/** A call at a fake engine. @internal */
export type EngineJob = {
	readonly call: GenerateCall;
	readonly emit: (chunks: readonly Chunk[]) => void;
};

type Sequence = {
	readonly job: EngineJob;
	readonly hash: string;
	next: number;
	startedAt: Ms;
	cancelTimer: CancelTimer;
};

/** Tokens that are decoded in one step of the replay; more of them make a replay faster and its streams coarser. */
const tokensPerStep = 16;
const keptEvents = 4096;

/** Options of a fake engine. @internal */
export type FakeEngineOptions = {
	readonly clock: Clock;
	readonly declaration: TargetDeclaration;
	readonly pool: Pool;
	readonly cacheTokens: number;
	readonly ledger: RunLedger;
	readonly random: Random;
};

/** Model engine in virtual time: slots with priorities, prefix cache, coarse decoding steps. @internal */
export class FakeEngine {
	readonly faults = new FakeFaults();
	starts = 1;
	readonly #waiting: Sequence[] = [];
	readonly #running = new Set<Sequence>();
	readonly #events: Array<CacheEvent & {at: Ms}> = [];
	readonly #loads: LoadHistory;
	#cache: PrefixCache;
	#sequence = 0;

	constructor(private readonly options: FakeEngineOptions) {
		this.#cache = PrefixCache.create(options.cacheTokens);
		this.#loads = new LoadHistory(options.clock, options.declaration.slots);
	}

	get startId(): string {
		return `${this.options.declaration.name}#${this.starts}`;
	}

	/** Takes a call; its chunks go to `emit`. */
	arrive(job: EngineJob): void {
		const prompt = job.call.prompt.map(segment => segment.text).join('\n');
		this.#waiting.push({
			job, hash: standInPromptHash(prompt), next: job.call.fromIndex, startedAt: 0, cancelTimer: () => undefined,
		});
		this.fill();
	}

	/** Drops a call whose connection closed. */
	drop(job: EngineJob): void {
		const waiting = this.#waiting.findIndex(sequence => sequence.job === job);
		if (waiting !== -1) {
			this.#waiting.splice(waiting, 1);
		}

		for (const sequence of this.#running) {
			if (sequence.job === job) {
				this.#end(sequence);
			}
		}
	}

	/** Forgets every call and the cache, as a process that died. */
	die(): void {
		this.#waiting.length = 0;
		for (const sequence of this.#running) {
			this.#end(sequence);
		}

		this.#events.length = 0;
		this.#sequence = 0;
		this.#cache = PrefixCache.create(this.options.cacheTokens);
		this.starts++;
	}

	/** Stops the sequences in progress for good, as a frozen process does. */
	freeze(): void {
		for (const sequence of this.#running) {
			sequence.cancelTimer();
		}
	}

	/** Admits waiting calls to free slots, those within their team's share first. */
	fill(): void {
		while (this.#running.size < this.options.declaration.slots && this.#waiting.length > 0 && !this.faults.isStuck && !this.faults.isDead) {
			const preferred = this.#waiting.findIndex(sequence => sequence.job.call.shareClass === 'within');
			const [sequence] = this.#waiting.splice(Math.max(0, preferred), 1);
			this.#start(sequence!);
		}

		this.#loads.add(this.#running.size, this.#waiting.length);
	}

	load(): TargetLoad {
		return this.#loads.report(this.faults.loadLagMs);
	}

	cacheEvents(after: number): {startId: string; events: readonly CacheEvent[]} {
		const until = this.options.clock.now() - this.faults.eventLagMs;
		return {
			startId: this.startId,
			events: this.#events.filter(event => event.sequence > after && event.at <= until),
		};
	}

	#start(sequence: Sequence): void {
		const {clock, pool, ledger} = this.options;
		const {call} = sequence.job;
		const {uncached, changes} = this.#cache.use(call.prompt);
		ledger.prompts.push({pool: pool.name, prompt: call.prompt});
		ledger.promptTokens += call.prompt.reduce((sum, segment) => sum + estimateTokens(segment.text), 0);
		ledger.prefilledTokens += uncached;
		for (const change of changes) {
			this.#sequence++;
			if (!this.options.random.chance(this.faults.eventGaps)) {
				this.#events.push({...change, sequence: this.#sequence, at: clock.now()});
			}
		}

		if (this.#events.length > keptEvents * 2) {
			this.#events.splice(0, keptEvents);
		}

		ledger.onStart(call.requestId, call.stage);
		sequence.startedAt = clock.now();
		this.#running.add(sequence);
		const prefillMs = ((uncached + call.fromIndex) * pool.prefill_ms_per_token) + this.faults.slowMs;
		this.#schedule(sequence, 1, prefillMs);
	}

	#schedule(sequence: Sequence, tokens: number, extraMs: Ms): void {
		sequence.cancelTimer = this.options.clock.after((tokens * this.options.pool.decode_ms_per_token) + extraMs, () => {
			this.#step(sequence, tokens);
		});
	}

	#step(sequence: Sequence, tokens: number): void {
		const {call} = sequence.job;
		const chunks: Chunk[] = [];
		const end = Math.min(call.maxTokens, sequence.next + tokens);
		for (; sequence.next < end; sequence.next++) {
			chunks.push({
				requestId: call.requestId, stage: call.stage, attempt: call.attempt, index: sequence.next, text: standInToken(sequence.hash, sequence.next), done: sequence.next === call.maxTokens - 1,
			});
		}

		sequence.job.emit(chunks);
		if (sequence.next >= call.maxTokens) {
			this.#end(sequence);
			this.fill();
		} else {
			this.#schedule(sequence, Math.min(tokensPerStep, call.maxTokens - sequence.next), 0);
		}
	}

	#end(sequence: Sequence): void {
		const {clock, pool, ledger, declaration} = this.options;
		sequence.cancelTimer();
		if (this.#running.delete(sequence)) {
			ledger.busy(sequence.job.call.stage, clock.now() - sequence.startedAt, pool.cost_per_second / 1000 / declaration.slots);
		}
	}
}
