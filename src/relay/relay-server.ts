import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {closeServer, listen, type ListenAddress} from '../http/index.js';
import type {Route, RouteTable, TeamDeclaration} from '../routes/index.js';
import type {CallerHead} from './relay-codec.js';
import {RelayRun} from './relay-run.js';
import {sendRejection} from './send-rejection.js';
import type {RelayParts} from './relay-parts.js';
import type {Rejection} from './rejection.js';

/** Headers of one request, at most; the users' limit is the same. */
const maxHeaderBytes = 16 * 1024;
/** Bounds before the first configuration. */
const defaultHeaderTimeoutMs: Ms = 5000;
const defaultIdleTimeoutMs: Ms = 15_000;
const defaultMaxBodyBytes = 4 * 1024 * 1024;
/** Kept connections live this much longer than callers use them. */
const idleMarginMs: Ms = 1000;
/** How often connections are checked for a caller that sends too slowly. */
const checkIntervalMs: Ms = 1000;

/** Parts of the relay's server. */
export interface RelayServerOptions {
	readonly parts: RelayParts;
	readonly listen: ListenAddress;
	/** Configuration in force; `undefined` before the first. */
	readonly table: () => RouteTable | undefined;
	/** True while new requests are turned away because the process ends. */
	readonly isTurningAway: () => boolean;
}

/**
 * HTTP server towards callers: reads requests, finds route and team, and runs them.
 *
 * @example
 * const server = await RelayServer.create({parts, listen, table, isTurningAway});
 */
export class RelayServer {
	static async create(options: RelayServerOptions): Promise<RelayServer> {
		const server = new RelayServer(options);
		server.#port = await listen(server.#server, options.listen);
		return server;
	}

	readonly #server: Server;
	#inFlight = 0;
	#port = 0;

	private constructor(private readonly options: RelayServerOptions) {
		this.#server = createServer({
			maxHeaderSize: maxHeaderBytes, headersTimeout: defaultHeaderTimeoutMs, requestTimeout: defaultHeaderTimeoutMs + defaultIdleTimeoutMs, keepAliveTimeout: defaultIdleTimeoutMs + idleMarginMs, connectionsCheckingInterval: checkIntervalMs, noDelay: true,
		}, (req, res) => {
			void this.#handle(req, res);
		});
	}

	get port(): number {
		return this.#port;
	}

	/** Requests whose answers are not sent yet. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Takes the bounds of the configuration in force. */
	applyLimits(table: RouteTable): void {
		const {headerTimeoutMs, idleTimeoutMs} = table.declarations.limits;
		this.#server.headersTimeout = headerTimeoutMs + checkIntervalMs;
		this.#server.keepAliveTimeout = idleTimeoutMs + idleMarginMs;
		this.#server.requestTimeout = headerTimeoutMs + idleTimeoutMs;
	}

	/** Closes connections without a request. */
	closeIdle(): void {
		this.#server.closeIdleConnections();
	}

	/** Closes every connection at once. */
	async close(): Promise<void> {
		await closeServer(this.#server);
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock, logger} = this.options.parts;
		const arrivedMs = clock.now();
		// The close that follows an error of the caller's connection ends the request.
		res.on('error', () => undefined);
		this.#inFlight++;
		try {
			const body = await readBody(req, this.options.table()?.declarations.limits.maxBodyBytes ?? defaultMaxBodyBytes);
			if (body === 'too_large') {
				this.#refuse(res, {status: 413, reason: 'body_too_large'}, undefined);
			} else if (body !== 'left') {
				await this.#run(req, res, body, arrivedMs);
			}
		} catch (err) {
			logger.error('Cannot serve a request.', {error: errorMessage(err), stack: err instanceof Error ? err.stack : undefined});
			if (res.headersSent) {
				res.destroy();
			} else {
				sendRejection(res, {status: 502, reason: 'target_failed'}, true);
			}
		} finally {
			this.#inFlight--;
		}
	}

	async #run(req: IncomingMessage, res: ServerResponse, body: Buffer, arrivedMs: Ms): Promise<void> {
		const {parts, isTurningAway} = this.options;
		const head = parts.codec.readCaller(req.rawHeaders);
		const table = this.options.table();
		if (!table || isTurningAway()) {
			this.#refuse(res, {status: 503, reason: table ? 'shutting_down' : 'not_configured', retryAfterMs: 50}, head.attemptId, true);
			return;
		}

		const route = table.route(head.host, req.url!);
		const team = table.team(head.teamKey);
		const fault = faultOf(route, table, team, head);
		if (fault) {
			this.#refuse(res, fault, head.attemptId, false, table.version);
			return;
		}

		await RelayRun.create(parts, {
			req, res, head, attemptId: head.attemptId!, body, route: route!, team, table, arrivedMs,
		}).run();
	}

	#refuse(res: ServerResponse, rejection: Rejection, id: string | undefined, isClosing = false, version?: number): void {
		const {logger, metrics, isClosing: closes} = this.options.parts;
		const {reason} = rejection;
		metrics.ended({
			outcome: 'rejected', reason, tookMs: 0, firstByteMs: undefined,
		});
		logger.info('Refused a request.', {
			id, reason, status: rejection.status, config: version,
		});
		sendRejection(res, rejection, isClosing || closes());
	}
}

/** Why a request cannot be run at all. */
function faultOf(route: Route | undefined, table: RouteTable, team: TeamDeclaration | undefined, head: CallerHead): Rejection | undefined {
	if (!route) {
		return {status: 404, reason: 'no_route'};
	}

	if (!route.isPublic && table.hasTeams && !team) {
		return {status: 401, reason: 'unknown_key'};
	}

	return head.attemptId === undefined ? {status: 400, reason: 'bad_request'} : undefined;
}

async function readBody(req: IncomingMessage, maxBytes: number): Promise<Buffer | 'too_large' | 'left'> {
	return new Promise(resolve => {
		const chunks: Buffer[] = [];
		let bytes = 0;
		req.on('data', (chunk: Buffer) => {
			bytes += chunk.length;
			if (bytes > maxBytes) {
				resolve('too_large');
			} else {
				chunks.push(chunk);
			}
		});
		req.on('end', () => {
			resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
		});
		req.on('error', () => {
			resolve('left');
		});
		req.on('close', () => {
			resolve('left');
		});
	});
}
