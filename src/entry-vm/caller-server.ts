import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {randomUUID} from 'node:crypto';
import {mintKey} from '../claims/index.js';
import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {
	BodyError, closeServer, listen, readJsonBody, sendJson, type ListenAddress,
} from '../http/index.js';
import {
	callerRequestSchema, isRejection, httpStatus, type RejectionOutcome, type RejectionReason, type RequestResult, type RequestRunner,
} from '../requests/index.js';
import {EventStream} from './event-stream.js';

/** Interval between keep-alive events on open event streams. */
const keepAliveIntervalMs: Ms = 1000;
/** Time limits for receiving the headers of a request and the whole request. */
const headersTimeoutMs: Ms = 10_000;
const requestTimeoutMs: Ms = 30_000;
const maxHeaderBytes = 16 * 1024;
/** Lifetime of the idempotency keys that `POST /v1/keys` mints. */
const defaultKeyLifetimeMs: Ms = 600_000;

/** Dependencies and limits of a `CallerServer`. */
export interface CallerServerOptions {
	readonly clock: Clock;
	readonly runner: Pick<RequestRunner, 'run'>;
	readonly incarnation: string;
	readonly listen: ListenAddress;
	readonly maxBodyBytes: number;
	/** True while new requests are accepted. */
	readonly isReady: () => boolean;
	/** True once a configuration has been applied. */
	readonly isConfigured: () => boolean;
	/** Called with each result, to record metrics. */
	readonly onResult?: (pipeline: string, team: string, result: RequestResult, tookMs: Ms) => void;
}

/**
 * HTTP server for callers.
 *
 * @internal
 */
export class CallerServer {
	static async create(options: CallerServerOptions): Promise<CallerServer> {
		const server = new CallerServer(options);
		await server.#listen();
		return server;
	}

	readonly #server: Server;
	readonly #streams = new Set<EventStream>();
	#cancelKeepAlive: () => void = () => undefined;
	#inFlight = 0;
	#port = 0;

	private constructor(private readonly options: CallerServerOptions) {
		this.#server = createServer({
			maxHeaderSize: maxHeaderBytes, headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs, keepAliveTimeout: 65_000,
		}, (req, res) => {
			void this.#route(req, res);
		});
		this.#server.maxHeadersCount = 100;
		this.#scheduleKeepAlive();
	}

	get port(): number {
		return this.#port;
	}

	/** Number of requests whose response has not been sent. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Stops accepting connections; open connections close after their current response. */
	stopAccepting(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Closes all connections immediately. */
	async close(): Promise<void> {
		this.#cancelKeepAlive();
		await closeServer(this.#server);
	}

	async #listen(): Promise<void> {
		this.#port = await listen(this.#server, this.options.listen);
	}

	#scheduleKeepAlive(): void {
		this.#cancelKeepAlive = this.options.clock.after(keepAliveIntervalMs, () => {
			for (const stream of this.#streams) {
				stream.sendKeepAlive();
			}

			this.#scheduleKeepAlive();
		});
	}

	async #route(req: IncomingMessage, res: ServerResponse): Promise<void> {
		res.on('error', () => undefined);
		const path = (req.url ?? '/').split('?', 1)[0]!;
		if (req.method === 'GET' && path === '/live') {
			sendJson(res, 200, {live: true});
		} else if (req.method === 'GET' && path === '/ready') {
			const ready = this.options.isReady();
			sendJson(res, ready ? 200 : 503, {ready});
		} else if (req.method === 'POST' && path === '/v1/keys') {
			this.#mintKey(res);
		} else {
			const pipeline = /^\/v1\/pipelines\/(?<pipeline>[\w.-]{1,63})\/requests$/.exec(path)?.groups?.pipeline;
			if (req.method === 'POST' && pipeline !== undefined) {
				await this.#handleRequest(req, res, pipeline);
			} else {
				sendJson(res, pipeline === undefined ? 404 : 405, {message: 'Cannot serve the path: see POST /v1/pipelines/{pipeline}/requests'}, {connection: 'close'});
			}
		}
	}

	#mintKey(res: ServerResponse): void {
		const notAfterMs = this.options.clock.wall() + defaultKeyLifetimeMs;
		sendJson(res, 200, {key: mintKey(this.options.incarnation, notAfterMs), not_after_ms: Math.floor(notAfterMs)});
	}

	async #handleRequest(req: IncomingMessage, res: ServerResponse, pipeline: string): Promise<void> {
		const requestId = randomUUID();
		this.#inFlight++;
		try {
			await this.#runRequest(req, res, pipeline, requestId);
		} catch (err) {
			sendJson(res, 500, {
				request_id: requestId, outcome: 'unknown', reason: 'internal', message: errorMessage(err),
			});
		} finally {
			this.#inFlight--;
		}
	}

	async #runRequest(req: IncomingMessage, res: ServerResponse, pipeline: string, requestId: string): Promise<void> {
		let body: unknown;
		try {
			body = await readJsonBody(req, this.options.maxBodyBytes);
		} catch (err) {
			const reason = err instanceof BodyError && err.problem === 'too_large' ? 'body_too_large' : 'bad_request';
			this.#reject(res, requestId, reason, errorMessage(err));
			return;
		}

		if (!this.options.isReady()) {
			this.#rejectNotReady(res, requestId, body);
			return;
		}

		const startedAt = this.options.clock.now();
		const disconnected = new AbortController();
		res.once('close', () => {
			if (!res.writableFinished) {
				disconnected.abort();
			}
		});
		const wantsStream = isStreamWanted(body);
		let stream: EventStream | undefined;
		const result = await this.options.runner.run(pipeline, body, {
			requestId,
			signal: disconnected.signal,
			onAdmitted: () => {
				if (wantsStream) {
					stream = EventStream.create(res);
					this.#streams.add(stream);
				}
			},
			sink(texts, firstIndex) {
				stream?.sendChunks(texts, firstIndex);
			},
		});
		if (stream) {
			this.#streams.delete(stream);
			stream.end(result);
		} else {
			sendJson(res, httpStatus(result), result, this.options.isReady() ? {} : {connection: 'close'});
		}

		const isTeamKnown = !isRejection(result) || (result.reason !== 'unknown_team' && result.reason !== 'bad_request');
		this.options.onResult?.(pipeline, isTeamKnown ? (body as {team: string}).team : '', result, this.options.clock.now() - startedAt);
	}

	/**
	 * Rejects a request while this entry VM is starting or draining. The request is not run here, but where the caller
	 * declares it a retry, an earlier attempt may have run, so its outcome is unknown.
	 */
	#rejectNotReady(res: ServerResponse, requestId: string, body: unknown): void {
		if (isDeclaredRetry(body)) {
			this.#reject(res, requestId, 'earlier_attempt_unknown', 'Cannot take the request: this attempt was not run, earlier attempts are unknown', 'unknown');
			return;
		}

		const reason = this.options.isConfigured() ? 'shutting_down' : 'not_configured';
		this.#reject(res, requestId, reason, 'Cannot take the request: this entry VM is not ready');
	}

	#reject(res: ServerResponse, requestId: string, reason: RejectionReason, message: string, outcome: RejectionOutcome = 'not_run'): void {
		const result: RequestResult = {
			request_id: requestId, outcome, reason, message,
		};
		sendJson(res, httpStatus(result), result, {connection: 'close'});
	}
}

function isStreamWanted(body: unknown): boolean {
	return typeof body === 'object' && body !== null && 'stream' in body && body.stream === true;
}

function isDeclaredRetry(body: unknown): boolean {
	const parsed = callerRequestSchema.safeParse(body);
	return (parsed.data?.idempotency?.attempt ?? 1) > 1;
}
