import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {sendJson, type ListenAddress} from '../http/index.js';
import {Random} from '../random/index.js';
import {
	drainingHeader, startIdHeader, type EngineOrder, type EngineState, type PromptSegment, type ShareClass,
} from '../targets/index.js';
import {PrefixCache} from './prefix-cache.js';
import {StandInServer} from './stand-in-server.js';
import {standInPromptHash, standInToken} from './stand-in-text.js';
import {noTargetFaults, targetFaultsSchema, type TargetFaults} from './target-faults.js';

type WireCall = {
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
	call: WireCall;
	hash: string;
	next: number;
	sent: number;
	readyAt: Ms;
	truncateAfter: number;
	res: ServerResponse;
	socket: Socket;
};

type PublishedEvent = {sequence: number; type: 'stored' | 'evicted'; prefix: string; tokens: number; at: Ms};

/** Options of a stand-in engine. */
export interface EngineStandInOptions {
	readonly clock: Clock;
	readonly listen: ListenAddress;
	readonly startId: string;
	/** Sequences decoded together. */
	readonly slots?: number;
	readonly prefillMsPerToken?: number;
	/** Time of one decoding step; 0 sends every token at once. */
	readonly decodeMsPerToken?: number;
	readonly cacheTokens?: number;
	readonly checksFencing?: boolean;
	readonly seed?: number;
	/** Time that an order takes to be in force. */
	readonly orderMs?: Ms;
}

const cacheEventsKept = 4096;

/**
 * Stand-in for a model engine: continuous batching with priorities, a bounded prefix cache, streams that resume and
 * cancel, late cache events and load reports, orders with or without fencing.
 *
 * @example
 * const engine = await EngineStandIn.create({clock, listen: {host: '127.0.0.1', port: 0}, startId: 'e1'});
 */
export class EngineStandIn {
	static async create(options: EngineStandInOptions): Promise<EngineStandIn> {
		const standIn = new EngineStandIn(options);
		standIn.#server = await StandInServer.create({
			listen: options.listen,
			headers: () => ({[startIdHeader]: options.startId, ...(standIn.faults.draining ? {[drainingHeader]: 'true'} : {})}),
			routes: [
				['POST', /^\/v1\/generate$/, ({body, req, res}) => {
					standIn.#generate(body as WireCall, req, res);
				}],
				['POST', /^\/v1\/cancel$/, ({body}) => standIn.#cancel(body as WireCall)],
				['GET', /^\/v1\/load$/, () => standIn.faults.stuck ? undefined : standIn.#load()],
				['GET', /^\/v1\/health$/, ({res}) => {
					standIn.#health(res);
				}],
				['GET', /^\/v1\/cache-events$/, ({query}) => standIn.#cacheEvents(Number(query.get('after') ?? 0))],
				['POST', /^\/v1\/orders$/, ({body}) => standIn.#order(body as EngineOrder)],
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
	/** Every call in order. */
	readonly runs: Array<{request_id: string; stage: string; attempt: number; from_index: number}> = [];
	/** Orders received, with their result. */
	readonly orders: Array<{fencing: number; result: 'accepted' | 'refused'}> = [];
	/** Prompt tokens that were not cached, over all calls. */
	prefillTokens = 0;
	state: EngineState = {
		model: '', version: '', adapters: [], role: 'both',
	};

	readonly #cache: PrefixCache;
	readonly #random: Random;
	readonly #waiting: Sequence[] = [];
	readonly #running = new Set<Sequence>();
	readonly #events: PublishedEvent[] = [];
	readonly #loads: Array<{at: Ms; inFlight: number; queued: number}> = [];
	readonly #silentSockets = new WeakSet<Socket>();
	#sequence = 0;
	#highestFencing = -1;
	#cancelStep: CancelTimer | undefined;
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

	/** Puts faults in force; unnamed ones end. */
	setFaults(faults: unknown): void {
		this.faults = targetFaultsSchema.parse(faults);
		if (this.faults.half_open) {
			for (const sequence of [...this.#running, ...this.#waiting]) {
				this.#silentSockets.add(sequence.socket);
			}
		}
	}

	async close(): Promise<void> {
		this.#cancelStep?.();
		await this.#server?.close();
	}

	#generate(call: WireCall, req: IncomingMessage, res: ServerResponse): void {
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
			call, hash: standInPromptHash(call.prompt.map(segment => segment.text).join('\n')), next: call.from_index, sent: 0, readyAt: 0, truncateAfter: Number.POSITIVE_INFINITY, res, socket: req.socket,
		};
		if (this.faults.truncate > 0) {
			this.faults.truncate--;
			sequence.truncateAfter = this.faults.truncate_after;
		}

		res.on('close', () => {
			this.#drop(sequence);
		});
		this.#waiting.push(sequence);
		this.#fill();
	}

	/** Admits waiting sequences to the batch, those within their team's share first. */
	#fill(): void {
		while (this.#running.size < this.slots && this.#waiting.length > 0) {
			const preferred = this.#waiting.findIndex(sequence => sequence.call.share_class === 'within');
			const [sequence] = this.#waiting.splice(Math.max(0, preferred), 1);
			this.#prefill(sequence!);
			this.#running.add(sequence!);
		}

		if (this.#running.size > 0) {
			this.#scheduleStep();
		}
	}

	#prefill(sequence: Sequence): void {
		const {clock} = this.options;
		const {uncached, changes} = this.#cache.use(sequence.call.prompt);
		this.prefillTokens += uncached;
		sequence.readyAt = clock.now() + (uncached * (this.options.prefillMsPerToken ?? 0)) + this.faults.slow_ms;
		for (const change of changes) {
			this.#sequence++;
			if (!this.#random.chance(this.faults.cache_event_loss)) {
				this.#events.push({...change, sequence: this.#sequence, at: clock.now()});
			}
		}

		this.#events.splice(0, Math.max(0, this.#events.length - cacheEventsKept));
	}

	#scheduleStep(): void {
		if (this.#cancelStep) {
			return;
		}

		this.#cancelStep = this.options.clock.after(this.options.decodeMsPerToken ?? 0, () => {
			this.#cancelStep = undefined;
			this.#step();
		});
	}

	/** One decoding step: one token for every running sequence, or all tokens at once without a decoding time. */
	#step(): void {
		const now = this.options.clock.now();
		const burst = (this.options.decodeMsPerToken ?? 0) === 0;
		for (const sequence of this.#running) {
			if (sequence.readyAt <= now && !this.faults.stuck) {
				this.#emit(sequence, burst ? sequence.call.max_tokens : 1);
			}
		}

		this.#loads.push({at: now, inFlight: this.#running.size, queued: this.#waiting.length});
		this.#loads.splice(0, Math.max(0, this.#loads.length - cacheEventsKept));
		this.#fill();
	}

	#emit(sequence: Sequence, count: number): void {
		const {call} = sequence;
		let lines = '';
		const end = Math.min(call.max_tokens, sequence.next + count);
		for (; sequence.next < end && sequence.sent < sequence.truncateAfter; sequence.next++) {
			sequence.sent++;
			lines += `${JSON.stringify({
				request_id: call.request_id, stage: call.stage, attempt: call.attempt, index: sequence.next, text: standInToken(sequence.hash, sequence.next), done: sequence.next === call.max_tokens - 1,
			})}\n`;
		}

		if (!this.#silentSockets.has(sequence.socket)) {
			sequence.res.write(lines);
		}

		if (sequence.sent >= sequence.truncateAfter) {
			this.#drop(sequence);
			sequence.res.destroy();
		} else if (sequence.next >= call.max_tokens) {
			this.#drop(sequence);
			if (!this.#silentSockets.has(sequence.socket)) {
				sequence.res.end();
			}
		}
	}

	#drop(sequence: Sequence): void {
		this.#running.delete(sequence);
		const index = this.#waiting.indexOf(sequence);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
		}

		this.#fill();
	}

	#cancel(call: WireCall): unknown {
		for (const sequence of [...this.#running, ...this.#waiting]) {
			if (sequence.call.request_id === call.request_id && sequence.call.stage === call.stage && sequence.call.attempt === call.attempt) {
				this.#drop(sequence);
				sequence.res.destroy();
			}
		}

		return {cancelled: true};
	}

	#load(): unknown {
		const until = this.options.clock.now() - this.faults.load_lag_ms;
		const known = this.faults.load_lag_ms === 0
			? {inFlight: this.#running.size, queued: this.#waiting.length}
			: this.#loads.findLast(entry => entry.at <= until) ?? {inFlight: 0, queued: 0};
		return {
			inFlight: known.inFlight, queued: known.queued, slots: this.slots, ageMs: this.faults.load_lag_ms,
		};
	}

	#health(res: ServerResponse): void {
		if (!this.faults.stuck) {
			sendJson(res, 200, {startId: this.options.startId, draining: this.faults.draining});
		}
	}

	#cacheEvents(after: number): unknown {
		const until = this.options.clock.now() - this.faults.cache_event_lag_ms;
		return {
			startId: this.options.startId,
			events: this.#events.filter(event => event.sequence > after && event.at <= until).map(({sequence, type, prefix, tokens}) => ({
				sequence, type, prefix, tokens,
			})),
		};
	}

	async #order(order: EngineOrder): Promise<unknown> {
		const refused = this.options.checksFencing === true && order.fencing < this.#highestFencing;
		this.orders.push({fencing: order.fencing, result: refused ? 'refused' : 'accepted'});
		if (refused) {
			return {result: 'refused'};
		}

		this.#highestFencing = Math.max(this.#highestFencing, order.fencing);
		await this.options.clock.sleep(this.options.orderMs ?? 0);
		this.state = order.state;
		return {result: 'accepted'};
	}
}
