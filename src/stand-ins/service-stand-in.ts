import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../clock/index.js';
import {sendJson, type ListenAddress} from '../http/index.js';
import {targetHeaders} from '../targets/index.js';
import {StandInServer} from './stand-in-server.js';
import {standInOutput} from './stand-in-text.js';
import {noTargetFaults, targetFaultsSchema, type TargetFaults} from './target-faults.js';

type ServiceCallBody = {request_id: string; stage: string; attempt: number; kind: string; input: string; idempotency_key?: string};

/** Options of a stand-in service. */
export interface ServiceStandInOptions {
	readonly clock: Clock;
	readonly listen: ListenAddress;
	readonly startId: string;
	/** Service time of each call in ms; 0 by default. */
	readonly serviceMs?: number;
	/** Slots reported as the capacity of the service; 8 by default. They do not limit concurrency. */
	readonly slots?: number;
}

/**
 * Stand-in for an encoder, a retriever, a reranker or another service. It records every run, so that tests can check
 * that a non-idempotent call is executed at most once.
 *
 * @example
 * const service = await ServiceStandIn.create({clock, listen: {host: '127.0.0.1', port: 0}, startId: 's1'});
 */
export class ServiceStandIn {
	static async create(options: ServiceStandInOptions): Promise<ServiceStandIn> {
		const standIn = new ServiceStandIn(options);
		standIn.#server = await StandInServer.create({
			listen: options.listen,
			headers: () => ({[targetHeaders.startId]: options.startId, ...(standIn.faults.draining ? {[targetHeaders.draining]: 'true'} : {})}),
			routes: [
				['POST', /^\/v1\/call$/, async ({body, req, res}) => standIn.#call(body as ServiceCallBody, req, res)],
				['GET', /^\/v1\/lookup$/, ({query}) => standIn.#lookup(query.get('key') ?? '')],
				['GET', /^\/v1\/load$/, () => standIn.faults.stuck
					? undefined
					: ({
						inFlight: standIn.#inFlight, queued: 0, slots: options.slots ?? 8, ageMs: standIn.faults.load_lag_ms,
					})],
				['GET', /^\/v1\/health$/, async ({res}) => standIn.#health(res)],
				['POST', /^\/faults$/, ({body}) => {
					standIn.setFaults(body);
					return standIn.faults;
				}],
				['GET', /^\/runs$/, () => ({runs: standIn.runs})],
			],
		});
		return standIn;
	}

	faults: TargetFaults = noTargetFaults();
	/** Completed runs in order, each with the idempotency key of the call, if it has one. */
	readonly runs: Array<{request_id: string; stage: string; attempt: number; key?: string}> = [];
	readonly #repliesByKey = new Map<string, unknown>();
	readonly #halfOpenSockets = new WeakSet<Socket>();
	readonly #openSockets = new Set<Socket>();
	#inFlight = 0;
	#server: StandInServer | undefined;

	private constructor(private readonly options: ServiceStandInOptions) {}

	get origin(): string {
		return this.#server!.origin;
	}

	/** Replaces the injected faults; faults that are not set return to their defaults. */
	setFaults(faults: unknown): void {
		this.faults = targetFaultsSchema.parse(faults);
		if (this.faults.half_open) {
			for (const socket of this.#openSockets) {
				this.#halfOpenSockets.add(socket);
			}
		}
	}

	async close(): Promise<void> {
		await this.#server?.close();
	}

	async #call(call: ServiceCallBody, req: IncomingMessage, res: ServerResponse): Promise<unknown> {
		if (!this.#openSockets.has(req.socket)) {
			this.#openSockets.add(req.socket);
			req.socket.once('close', () => this.#openSockets.delete(req.socket));
		}

		if (this.faults.draining) {
			sendJson(res, 503, {message: 'Cannot call: the service is draining'});
			return undefined;
		}

		if (this.faults.fail > 0) {
			this.faults.fail--;
			sendJson(res, 500, {message: 'Cannot call: fault on request'});
			return undefined;
		}

		this.#inFlight++;
		try {
			await this.options.clock.sleep((this.options.serviceMs ?? 0) + this.faults.slow_ms);
		} finally {
			this.#inFlight--;
		}

		return this.#complete(call, req, res);
	}

	#complete(call: ServiceCallBody, req: IncomingMessage, res: ServerResponse): unknown {
		this.runs.push({
			request_id: call.request_id, stage: call.stage, attempt: call.attempt, ...(call.idempotency_key === undefined ? {} : {key: call.idempotency_key}),
		});
		const reply = {
			request_id: call.request_id, stage: call.stage, attempt: call.attempt, output: standInOutput(call.kind, call.input),
		};
		if (call.idempotency_key !== undefined) {
			this.#repliesByKey.set(call.idempotency_key, reply);
		}

		if (this.faults.stuck || this.#halfOpenSockets.has(req.socket)) {
			return undefined;
		}

		if (this.faults.drop_answers > 0) {
			this.faults.drop_answers--;
			res.destroy();
			return undefined;
		}

		if (this.faults.mismatch > 0) {
			this.faults.mismatch--;
			return {...reply, request_id: 'another-request'};
		}

		return reply;
	}

	#lookup(key: string): unknown {
		const reply = this.#repliesByKey.get(key);
		return reply === undefined ? {found: false} : {found: true, reply};
	}

	#health(res: ServerResponse): unknown {
		if (this.faults.stuck) {
			return undefined;
		}

		sendJson(res, 200, {startId: this.options.startId, draining: this.faults.draining});
		return undefined;
	}
}
