import type {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {
	closeServer, ConnectionTracker, GrowingBuffer, listen, type ListenAddress,
} from '../http/index.js';
import type {Route, RouteTable, TeamDeclaration} from '../routes/index.js';
import {ForwardedRequest} from './forwarded-request.js';
import type {CallerHead} from './relay-codec.js';
import {RequestHandler} from './request-handler.js';
import {sendRejection} from './send-rejection.js';
import type {RelayContext} from './relay-context.js';
import type {Rejection} from './rejection.js';

/** Maximum size of the headers of a request; the users' own limit is the same. */
const maxHeaderBytes = 16 * 1024;
/** Limits that apply until the first configuration is loaded. */
const defaultHeaderTimeoutMs: Ms = 5000;
const defaultIdleTimeoutMs: Ms = 15_000;
const defaultMaxBodyBytes = 4 * 1024 * 1024;
/** Margin by which idle connections stay open longer than callers reuse them, so that callers close them first. */
const keepAliveMarginMs: Ms = 1000;
/** Interval of the checks for callers that send a request too slowly. */
const checkIntervalMs: Ms = 1000;

/** Options of `RelayServer`. */
export interface RelayServerOptions {
	readonly context: RelayContext;
	readonly listen: ListenAddress;
	/** Returns the current configuration; `undefined` before the first one is loaded. */
	readonly table: () => RouteTable | undefined;
	/** True while new requests are rejected because the process is shutting down. */
	readonly isRejecting: () => boolean;
}

/**
 * HTTP server for callers: reads requests, resolves their route and team, and relays them.
 *
 * @example
 * const server = await RelayServer.create({context, listen, table, isRejecting});
 */
export class RelayServer {
	static async create(options: RelayServerOptions): Promise<RelayServer> {
		const server = new RelayServer(options);
		server.#port = await listen(server.#server, options.listen);
		return server;
	}

	readonly #server: Server;
	readonly #connections: ConnectionTracker;
	readonly #handlers = new Set<RequestHandler | ForwardedRequest>();
	/** Aborted when the requests in progress are ended. */
	readonly #endController = new AbortController();
	#inFlight = 0;
	#port = 0;

	private constructor(private readonly options: RelayServerOptions) {
		this.#server = createServer({
			maxHeaderSize: maxHeaderBytes, headersTimeout: defaultHeaderTimeoutMs, requestTimeout: defaultHeaderTimeoutMs + defaultIdleTimeoutMs, keepAliveTimeout: defaultIdleTimeoutMs + keepAliveMarginMs, connectionsCheckingInterval: checkIntervalMs, noDelay: true,
		}, (req, res) => {
			void this.#handle(req, res);
		});
		this.#connections = ConnectionTracker.create(this.#server);
	}

	/** Port on which the server listens. */
	get port(): number {
		return this.#port;
	}

	/** Number of requests in progress, until their responses are written. */
	get inFlight(): number {
		return Math.max(this.#inFlight, this.#connections.activeRequests);
	}

	/** Number of connections and requests that have arrived so far. */
	get arrivals(): number {
		return this.#connections.arrivals;
	}

	/** Applies the caller limits of a configuration. */
	applyLimits(table: RouteTable): void {
		const {headerTimeoutMs, idleTimeoutMs} = table.declarations.limits;
		this.#server.headersTimeout = headerTimeoutMs + checkIntervalMs;
		this.#server.keepAliveTimeout = idleTimeoutMs + keepAliveMarginMs;
		this.#server.requestTimeout = headerTimeoutMs + idleTimeoutMs;
	}

	/** Closes connections without a request in progress. */
	closeIdleConnections(): void {
		this.#connections.closeIdle();
	}

	/** Rejects the requests that wait for their stages or for a place at a target, and could no longer be completed there before the shutdown ends. */
	rejectLate(): void {
		for (const handler of this.#handlers) {
			handler.rejectIfLate();
		}
	}

	/** Ends the requests in progress whose responses have not begun with an answer; those that have not arrived completely are refused once they have. */
	endUnanswered(): void {
		for (const handler of this.#handlers) {
			handler.endUnanswered();
		}
	}

	/** Ends all requests in progress with an answer, those that have not arrived completely too, or resets the connections of streams that have begun. */
	endRequests(): void {
		this.#endController.abort();
		for (const handler of this.#handlers) {
			handler.end();
		}
	}

	/** Stops listening and closes all connections immediately. */
	async close(): Promise<void> {
		await closeServer(this.#server);
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {clock, codec, logger} = this.options.context;
		const arrivedMs = clock.now();
		// The `close` event that follows a connection error ends the request.
		res.on('error', () => undefined);
		this.#inFlight++;
		try {
			// A request is passed on only once its answer can follow: the response before it may close the connection.
			if (this.#connections.hasToWait(res) && !await this.#connections.waitForTurn(req, res)) {
				logger.info('Left out a request behind the last response of its connection.', {id: codec.decodeCallerHead(req.rawHeaders).attemptId, waited_ms: Math.round(clock.now() - arrivedMs)});
				return;
			}

			const body = await readBody(req, this.options.table()?.declarations.limits.maxBodyBytes ?? defaultMaxBodyBytes, this.#endController.signal);
			if (typeof body === 'string') {
				this.#endIncomplete(req, res, {cause: body, arrivedMs});
			} else {
				await this.#run(req, res, body, arrivedMs);
			}
		} catch (err) {
			logger.error('Cannot serve a request.', {
				id: codec.decodeCallerHead(req.rawHeaders).attemptId, had_head: res.headersSent, error: errorMessage(err), stack: err instanceof Error ? err.stack : undefined,
			});
			if (res.headersSent) {
				res.destroy();
			} else {
				sendRejection(res, {status: 502, reason: 'target_failed'}, true);
			}
		} finally {
			this.#inFlight--;
		}
	}

	/** Ends a request whose body was not received as a whole. */
	#endIncomplete(req: IncomingMessage, res: ServerResponse, {cause, arrivedMs}: {cause: IncompleteBody; arrivedMs: Ms}): void {
		const {clock, codec, logger} = this.options.context;
		switch (cause) {
			case 'too_large': {
				this.#reject(res, {status: 413, reason: 'body_too_large'}, undefined);
				break;
			}

			case 'ended': {
				this.#reject(res, {status: 503, reason: 'shutting_down', retryAfterMs: 50}, undefined, true);
				break;
			}

			case 'disconnected': {
				logger.info('A caller left before its request was complete.', {
					id: codec.decodeCallerHead(req.rawHeaders).attemptId, took_ms: Math.round(clock.now() - arrivedMs), rejecting: this.options.isRejecting(),
				});
			}
		}
	}

	async #run(req: IncomingMessage, res: ServerResponse, body: Buffer, arrivedMs: Ms): Promise<void> {
		const {context, isRejecting} = this.options;
		const head = context.codec.decodeCallerHead(req.rawHeaders);
		const table = this.options.table();
		if (!table || isRejecting()) {
			this.#reject(res, {status: 503, reason: table ? 'shutting_down' : 'not_configured', retryAfterMs: 50}, head.attemptId, true);
			return;
		}

		const route = table.route(head.host, req.url!);
		const team = table.team(head.teamKey);
		const rejection = findRejection(route, table, team, head);
		if (rejection) {
			this.#reject(res, rejection, head.attemptId, false, table.version);
			return;
		}

		const request = {
			req, res, head, attemptId: head.attemptId!, body, route: route!, team, table, arrivedMs,
		};
		const handler = context.reach.isCutOff && !head.isForwarded ? ForwardedRequest.create(context, request) : RequestHandler.create(context, request);
		this.#handlers.add(handler);
		try {
			await handler.run();
		} finally {
			this.#handlers.delete(handler);
		}
	}

	#reject(res: ServerResponse, rejection: Rejection, id: string | undefined, isClosing = false, version?: number): void {
		const {logger, metrics, isClosing: isServerClosing} = this.options.context;
		const {reason} = rejection;
		metrics.recordRequest({
			outcome: 'rejected', reason, tookMs: 0, firstByteMs: undefined,
		});
		logger.info('Rejected a request.', {
			id, reason, status: rejection.status, config: version,
		});
		sendRejection(res, rejection, isClosing || isServerClosing());
	}
}

/** Returns the rejection of a request that cannot be relayed; `undefined` for one that can. */
function findRejection(route: Route | undefined, table: RouteTable, team: TeamDeclaration | undefined, head: CallerHead): Rejection | undefined {
	if (!route) {
		return {status: 404, reason: 'no_route'};
	}

	if (!route.isPublic && table.hasTeams && !team) {
		return {status: 401, reason: 'unknown_key'};
	}

	return head.attemptId === undefined ? {status: 400, reason: 'bad_request'} : undefined;
}

/** Why a body was not received as a whole: it exceeds the limit, its caller left, or the requests in progress were ended. */
type IncompleteBody = 'too_large' | 'disconnected' | 'ended';

/** Resolves with the body, or with why it is not received: `ended` if `signal` was aborted before its end. */
async function readBody(req: IncomingMessage, maxBytes: number, signal: AbortSignal): Promise<Buffer | IncompleteBody> {
	return new Promise(resolve => {
		const onAbort = () => {
			resolve('ended');
		};

		signal.addEventListener('abort', onAbort);
		req.on('close', () => {
			signal.removeEventListener('abort', onAbort);
		});
		const body = GrowingBuffer.create();
		req.on('data', (chunk: Buffer) => {
			if (body.length + chunk.length > maxBytes) {
				resolve('too_large');
			} else {
				body.append(chunk);
			}
		});
		req.on('end', () => {
			resolve(body.bytes);
		});
		req.on('error', () => {
			resolve('disconnected');
		});
		req.on('close', () => {
			resolve('disconnected');
		});
	});
}
