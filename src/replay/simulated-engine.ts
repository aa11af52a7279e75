import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {Pool, TargetDeclaration} from '../config/index.js';
import type {Random} from '../random/index.js';
import {estimateTokens, PrefixCache} from '../stand-ins/prefix-cache.js';
import {standInPromptHash, standInToken} from '../stand-ins/index.js';
import type {
	CacheEvent, Chunk, GenerateCall, TargetLoad,
} from '../targets/index.js';
import {ActiveFaults} from './active-faults.js';
import {LoadHistory} from './load-history.js';
import type {ExecutionRecorder} from './execution-recorder.js';

/** A call at a simulated engine. @internal */
export type EngineJob = {
	readonly call: GenerateCall;
	readonly emit: (chunks: readonly Chunk[]) => void;
};

type Sequence = {
	readonly job: EngineJob;
	readonly promptHash: string;
	nextIndex: number;
	startedAt: Ms;
	cancelTimer: CancelTimer;
};

/** Tokens per simulated decode step. Larger steps make replays faster and the timing of streams coarser. */
const tokensPerDecodeStep = 16;
const retainedCacheEvents = 4096;

/** Options of a simulated engine. @internal */
export type SimulatedEngineOptions = {
	readonly clock: Clock;
	readonly declaration: TargetDeclaration;
	readonly pool: Pool;
	readonly cacheTokens: number;
	readonly executions: ExecutionRecorder;
	readonly random: Random;
};

/** Simulated model engine with prioritised slots, a prefix cache and multi-token decode steps. @internal */
export class SimulatedEngine {
	readonly faults = new ActiveFaults();
	startCount = 1;
	readonly #queue: Sequence[] = [];
	readonly #running = new Set<Sequence>();
	readonly #cacheEvents: Array<CacheEvent & {at: Ms}> = [];
	readonly #loadHistory: LoadHistory;
	#cache: PrefixCache;
	#lastEventSequence = 0;

	constructor(private readonly options: SimulatedEngineOptions) {
		this.#cache = PrefixCache.create(options.cacheTokens);
		this.#loadHistory = new LoadHistory(options.clock, options.declaration.slots);
	}

	get startId(): string {
		return `${this.options.declaration.name}#${this.startCount}`;
	}

	/** Queues a call. Its chunks are passed to `emit`. */
	submit(job: EngineJob): void {
		const prompt = job.call.prompt.map(segment => segment.text).join('\n');
		this.#queue.push({
			job, promptHash: standInPromptHash(prompt), nextIndex: job.call.fromIndex, startedAt: 0, cancelTimer: () => undefined,
		});
		this.startQueued();
	}

	/** Removes a queued or running call whose connection has closed. */
	cancel(job: EngineJob): void {
		const waiting = this.#queue.findIndex(sequence => sequence.job === job);
		if (waiting !== -1) {
			this.#queue.splice(waiting, 1);
		}

		for (const sequence of this.#running) {
			if (sequence.job === job) {
				this.#end(sequence);
			}
		}
	}

	/** Discards all calls and the cache and takes a new start ID, as when the process exits. */
	reset(): void {
		this.#queue.length = 0;
		for (const sequence of this.#running) {
			this.#end(sequence);
		}

		this.#cacheEvents.length = 0;
		this.#lastEventSequence = 0;
		this.#cache = PrefixCache.create(this.options.cacheTokens);
		this.startCount++;
	}

	/** Stops the running sequences permanently, as in a hung process. */
	freeze(): void {
		for (const sequence of this.#running) {
			sequence.cancelTimer();
		}
	}

	/** Starts queued calls in free slots, preferring calls within their team's share. */
	startQueued(): void {
		while (this.#running.size < this.options.declaration.slots && this.#queue.length > 0 && !this.faults.isStuck && !this.faults.isDead) {
			const preferred = this.#queue.findIndex(sequence => sequence.job.call.shareClass === 'within');
			const [sequence] = this.#queue.splice(Math.max(0, preferred), 1);
			this.#start(sequence!);
		}

		this.#loadHistory.add(this.#running.size, this.#queue.length);
	}

	load(): TargetLoad {
		return this.#loadHistory.loadAt(this.faults.loadLagMs);
	}

	cacheEvents(after: number): {startId: string; events: readonly CacheEvent[]} {
		const until = this.options.clock.now() - this.faults.cacheEventLagMs;
		return {
			startId: this.startId,
			events: this.#cacheEvents.filter(event => event.sequence > after && event.at <= until),
		};
	}

	#start(sequence: Sequence): void {
		const {clock, pool, executions} = this.options;
		const {call} = sequence.job;
		const {uncached, changes} = this.#cache.use(call.prompt);
		executions.prompts.push({pool: pool.name, prompt: call.prompt});
		executions.promptTokens += call.prompt.reduce((sum, segment) => sum + estimateTokens(segment.text), 0);
		executions.prefilledTokens += uncached;
		for (const change of changes) {
			this.#lastEventSequence++;
			if (!this.options.random.chance(this.faults.cacheEventLossRate)) {
				this.#cacheEvents.push({...change, sequence: this.#lastEventSequence, at: clock.now()});
			}
		}

		if (this.#cacheEvents.length > retainedCacheEvents * 2) {
			this.#cacheEvents.splice(0, retainedCacheEvents);
		}

		executions.onStart(call.requestId, call.stage);
		sequence.startedAt = clock.now();
		this.#running.add(sequence);
		const prefillMs = ((uncached + call.fromIndex) * pool.prefill_ms_per_token) + this.faults.addedLatencyMs;
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
		const end = Math.min(call.maxTokens, sequence.nextIndex + tokens);
		for (; sequence.nextIndex < end; sequence.nextIndex++) {
			chunks.push({
				requestId: call.requestId, stage: call.stage, attempt: call.attempt, index: sequence.nextIndex, text: standInToken(sequence.promptHash, sequence.nextIndex), done: sequence.nextIndex === call.maxTokens - 1,
			});
		}

		sequence.job.emit(chunks);
		if (sequence.nextIndex >= call.maxTokens) {
			this.#end(sequence);
			this.startQueued();
		} else {
			this.#schedule(sequence, Math.min(tokensPerDecodeStep, call.maxTokens - sequence.nextIndex), 0);
		}
	}

	#end(sequence: Sequence): void {
		const {clock, pool, executions, declaration} = this.options;
		sequence.cancelTimer();
		if (this.#running.delete(sequence)) {
			executions.recordBusyTime(sequence.job.call.stage, clock.now() - sequence.startedAt, pool.cost_per_second / 1000 / declaration.slots);
		}
	}
}
