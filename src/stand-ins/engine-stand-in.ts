import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {sendJson, type ListenAddress} from '../http/index.js';
import {Random} from '../random/index.js';
import {
	targetHeaders, type EngineOrder, type EngineState, type PromptSegment, type ShareClass,
} from '../targets/index.js';
import {PrefixCache} from './prefix-cache.js';
import {StandInServer} from './stand-in-server.js';
import {standInPromptHash, standInToken} from './stand-in-text.js';
import {noTargetFaults, targetFaultsSchema, type TargetFaults} from './target-faults.js';

type GenerateCallBody = {
	request_id: string;
	stage: string;
	attempt: number;
	share_class: ShareClass;
	prompt: PromptSegment[];
	max_tokens: number;
	from_index: number;
	remaining_ms: number;
};

type Sequence = {
	call: GenerateCallBody;
	promptHash: string;
	nextIndex: number;
	sentChunks: number;
	prefilledAtMs: Ms;
	maxChunks: number;
	res: ServerResponse;
	socket: Socket;
};

type RecordedCacheEvent = {sequence: number; type: 'stored' | 'evicted'; prefix: string; tokens: number; atMs: Ms};

/** Options of a stand-in engine. */
export interface EngineStandInOptions {
	readonly clock: Clock;
	readonly listen: ListenAddress;
	readonly startId: string;
	/** Maximum number of sequences decoded in one batch; 8 by default. */
	readonly slots?: number;
	/** Prefill time per uncached prompt token in ms; 0 by default. */
	readonly prefillMsPerToken?: number;
	/** Duration of a decoding step in ms. 0, the default, sends all tokens of a sequence in one step. */
	readonly decodeMsPerToken?: number;
	/** Capacity of the prefix cache in tokens; 20 000 by default. */
	readonly cacheTokens?: number;
	/** Refuses orders with a fencing token below the highest one received; false by default. */
	readonly checksFencing?: boolean;
	/** Seed for the loss of cache events. */
	readonly seed?: number;
	/** Delay until an order takes effect; 0 by default. */
	readonly orderDelayMs?: Ms;
}

/** Maximum number of cache events, and of load samples, that are kept. */
const maxHistoryEntries = 4096;

/**
 * Stand-in for a model engine. It simulates continuous batching with two priority classes, a bounded prefix cache,
 * streams that can be resumed and cancelled, delayed cache events and load reports, and orders with or without fencing.
 *
 * @example
 * const engine = await EngineStandIn.create({clock, listen: {host: '127.0.0.1', port: 0}, startId: 'e1'});
 */
export class EngineStandIn {
	static async create(options: EngineStandInOptions): Promise<EngineStandIn> {
		const standIn = new EngineStandIn(options);
		standIn.#server = await StandInServer.create({
			listen: options.listen,
			headers: () => ({[targetHeaders.startId]: options.startId, ...(standIn.faults.draining ? {[targetHeaders.draining]: 'true'} : {})}),
			routes: [
				['POST', /^\/v1\/generate$/, ({body, req, res}) => {
					standIn.#generate(body as GenerateCallBody, req, res);
				}],
				['POST', /^\/v1\/cancel$/, ({body}) => standIn.#cancel(body as GenerateCallBody)],
				['GET', /^\/v1\/load$/, () => standIn.faults.stuck ? undefined : standIn.#load()],
				['GET', /^\/v1\/health$/, ({res}) => {
					standIn.#health(res);
				}],
				['GET', /^\/v1\/cache-events$/, ({query}) => standIn.#cacheEvents(Number(query.get('after') ?? 0))],
				['POST', /^\/v1\/orders$/, ({body}) => standIn.#applyOrder(body as EngineOrder)],
				['GET', /^\/v1\/state$/, () => standIn.state],
				['POST', /^\/faults$/, ({body}) => {
					standIn.setFaults(body);
					return standIn.faults;
				}],
				['GET', /^\/runs$/, () => ({runs: standIn.runs, prefillTokens: standIn.prefillTokens, orders: standIn.orders})],
			],
		});
		return standIn;
	}

	faults: TargetFaults = noTargetFaults();
	/** Accepted `generate` calls in order. */
	readonly runs: Array<{request_id: string; stage: string; attempt: number; from_index: number}> = [];
	/** Received orders with their results. */
	readonly orders: Array<{fencing: number; result: 'accepted' | 'refused'}> = [];
	/** Total of uncached prompt tokens over all calls. */
	prefillTokens = 0;
	/** Current state, set by the last order that took effect. */
	state: EngineState = {
		model: '', version: '', adapters: [], role: 'both',
	};

	readonly #cache: PrefixCache;
	readonly #random: Random;
	readonly #queue: Sequence[] = [];
	readonly #running = new Set<Sequence>();
	readonly #cacheEventHistory: RecordedCacheEvent[] = [];
	readonly #loadHistory: Array<{atMs: Ms; inFlight: number; queued: number}> = [];
	readonly #halfOpenSockets = new WeakSet<Socket>();
	#lastEventSequence = 0;
	#highestFencingToken = -1;
	#cancelDecodeStep: CancelTimer | undefined;
	#server: StandInServer | undefined;

	private constructor(private readonly options: EngineStandInOptions) {
		this.#cache = PrefixCache.create(options.cacheTokens ?? 20_000);
		this.#random = Random.create(options.seed ?? 1);
	}

	get origin(): string {
		return this.#server!.origin;
	}

	get slots(): number {
		return this.options.slots ?? 8;
	}

	/** Replaces the injected faults; faults that are not set return to their defaults. */
	setFaults(faults: unknown): void {
		this.faults = targetFaultsSchema.parse(faults);
		if (this.faults.half_open) {
			for (const sequence of [...this.#running, ...this.#queue]) {
				this.#halfOpenSockets.add(sequence.socket);
			}
		}
	}

	async close(): Promise<void> {
		this.#cancelDecodeStep?.();
		await this.#server?.close();
	}

	#generate(call: GenerateCallBody, req: IncomingMessage, res: ServerResponse): void {
		if (this.faults.draining) {
			sendJson(res, 503, {message: 'Cannot generate: the engine is draining'});
			return;
		}

		if (this.faults.fail > 0) {
			this.faults.fail--;
			sendJson(res, 500, {message: 'Cannot generate: fault on request'});
			return;
		}

		this.runs.push({
			request_id: call.request_id, stage: call.stage, attempt: call.attempt, from_index: call.from_index,
		});
		res.writeHead(200, {'content-type': 'application/x-ndjson'});
		res.flushHeaders();
		const sequence: Sequence = {
			call, promptHash: standInPromptHash(call.prompt.map(segment => segment.text).join('\n')), nextIndex: call.from_index, sentChunks: 0, prefilledAtMs: 0, maxChunks: Number.POSITIVE_INFINITY, res, socket: req.socket,
		};
		if (this.faults.truncate > 0) {
			this.faults.truncate--;
			sequence.maxChunks = this.faults.truncate_after;
		}

		res.on('close', () => {
			this.#removeSequence(sequence);
		});
		this.#queue.push(sequence);
		this.#fillBatch();
	}

	/** Moves queued sequences to the batch while slots are free; those within their team's share go first. */
	#fillBatch(): void {
		while (this.#running.size < this.slots && this.#queue.length > 0) {
			const withinShareIndex = this.#queue.findIndex(sequence => sequence.call.share_class === 'within');
			const [sequence] = this.#queue.splice(Math.max(0, withinShareIndex), 1);
			this.#prefill(sequence!);
			this.#running.add(sequence!);
		}

		if (this.#running.size > 0) {
			this.#scheduleDecodeStep();
		}
	}

	#prefill(sequence: Sequence): void {
		const {clock} = this.options;
		const {uncached, changes} = this.#cache.use(sequence.call.prompt);
		this.prefillTokens += uncached;
		sequence.prefilledAtMs = clock.now() + (uncached * (this.options.prefillMsPerToken ?? 0)) + this.faults.slow_ms;
		for (const change of changes) {
			this.#lastEventSequence++;
			if (!this.#random.chance(this.faults.cache_event_loss)) {
				this.#cacheEventHistory.push({...change, sequence: this.#lastEventSequence, atMs: clock.now()});
			}
		}

		this.#cacheEventHistory.splice(0, Math.max(0, this.#cacheEventHistory.length - maxHistoryEntries));
	}

	#scheduleDecodeStep(): void {
		if (this.#cancelDecodeStep) {
			return;
		}

		this.#cancelDecodeStep = this.options.clock.after(this.options.decodeMsPerToken ?? 0, () => {
			this.#cancelDecodeStep = undefined;
			this.#decodeStep();
		});
	}

	/** Decodes one token of each prefilled sequence, or all of its tokens when the decoding time is 0. */
	#decodeStep(): void {
		const nowMs = this.options.clock.now();
		const isUndelayed = (this.options.decodeMsPerToken ?? 0) === 0;
		for (const sequence of this.#running) {
			if (sequence.prefilledAtMs <= nowMs && !this.faults.stuck) {
				this.#emit(sequence, isUndelayed ? sequence.call.max_tokens : 1);
			}
		}

		this.#loadHistory.push({atMs: nowMs, inFlight: this.#running.size, queued: this.#queue.length});
		this.#loadHistory.splice(0, Math.max(0, this.#loadHistory.length - maxHistoryEntries));
		this.#fillBatch();
	}

	#emit(sequence: Sequence, count: number): void {
		const {call} = sequence;
		let lines = '';
		const end = Math.min(call.max_tokens, sequence.nextIndex + count);
		for (; sequence.nextIndex < end && sequence.sentChunks < sequence.maxChunks; sequence.nextIndex++) {
			sequence.sentChunks++;
			lines += `${JSON.stringify({
				request_id: call.request_id, stage: call.stage, attempt: call.attempt, index: sequence.nextIndex, text: standInToken(sequence.promptHash, sequence.nextIndex), done: sequence.nextIndex === call.max_tokens - 1,
			})}\n`;
		}

		if (!this.#halfOpenSockets.has(sequence.socket)) {
			sequence.res.write(lines);
		}

		if (sequence.sentChunks >= sequence.maxChunks) {
			this.#removeSequence(sequence);
			sequence.res.destroy();
		} else if (sequence.nextIndex >= call.max_tokens) {
			this.#removeSequence(sequence);
			if (!this.#halfOpenSockets.has(sequence.socket)) {
				sequence.res.end();
			}
		}
	}

	#removeSequence(sequence: Sequence): void {
		this.#running.delete(sequence);
		const index = this.#queue.indexOf(sequence);
		if (index !== -1) {
			this.#queue.splice(index, 1);
		}

		this.#fillBatch();
	}

	#cancel(call: GenerateCallBody): unknown {
		for (const sequence of [...this.#running, ...this.#queue]) {
			if (sequence.call.request_id === call.request_id && sequence.call.stage === call.stage && sequence.call.attempt === call.attempt) {
				this.#removeSequence(sequence);
				sequence.res.destroy();
			}
		}

		return {cancelled: true};
	}

	#load(): unknown {
		const visibleUntilMs = this.options.clock.now() - this.faults.load_lag_ms;
		const reported = this.faults.load_lag_ms === 0
			? {inFlight: this.#running.size, queued: this.#queue.length}
			: this.#loadHistory.findLast(entry => entry.atMs <= visibleUntilMs) ?? {inFlight: 0, queued: 0};
		return {
			inFlight: reported.inFlight, queued: reported.queued, slots: this.slots, ageMs: this.faults.load_lag_ms,
		};
	}

	#health(res: ServerResponse): void {
		if (!this.faults.stuck) {
			sendJson(res, 200, {startId: this.options.startId, draining: this.faults.draining});
		}
	}

	#cacheEvents(after: number): unknown {
		const visibleUntilMs = this.options.clock.now() - this.faults.cache_event_lag_ms;
		return {
			startId: this.options.startId,
			events: this.#cacheEventHistory.filter(event => event.sequence > after && event.atMs <= visibleUntilMs).map(({sequence, type, prefix, tokens}) => ({
				sequence, type, prefix, tokens,
			})),
		};
	}

	async #applyOrder(order: EngineOrder): Promise<unknown> {
		const isRefused = this.options.checksFencing === true && order.fencing < this.#highestFencingToken;
		this.orders.push({fencing: order.fencing, result: isRefused ? 'refused' : 'accepted'});
		if (isRefused) {
			return {result: 'refused'};
		}

		this.#highestFencingToken = Math.max(this.#highestFencingToken, order.fencing);
		await this.options.clock.sleep(this.options.orderDelayMs ?? 0);
		this.state = order.state;
		return {result: 'accepted'};
	}
}
