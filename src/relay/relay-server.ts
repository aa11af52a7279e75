import type {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {
	closeServer, ConnectionTracker, isFollowed, listen, mayBeFollowed, type Listen, type ListenAddress,
} from '../http/index.js';
import type {Route, RouteTable, TeamDeclaration} from '../routes/index.js';
import {answerClientError} from './answer-client-error.js';
import {CallerConnection} from './caller-connection.js';
import {hasBody, sendEarlyRejection} from './early-rejection.js';
import {EndNotice} from './end-notice.js';
import {ForwardedRequest} from './forwarded-request.js';
import type {CallerHead} from './relay-codec.js';
import {readBody, type IncompleteBody} from './read-body.js';
import {RequestHandler} from './request-handler.js';
import type {RequestLease} from './request-memory.js';
import {sendRejection} from './send-rejection.js';
import type {RelayContext} from './relay-context.js';
import type {Rejection} from './rejection.js';
import {waitForTurn} from './wait-for-turn.js';

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
/** Memory that a request takes besides the text of its headers. */
const requestOverheadBytes = 4096;
/** Delay after which a caller may ask again that found no memory for its request. */
const noMemoryRetryAfterMs: Ms = 500;
/** Part of `Expect` by which a caller waits for a sign before it sends a body. */
const continueExpectation = /100-continue/i;

/** Options of `RelayServer`. */
export interface RelayServerOptions {
	readonly context: RelayContext;
	readonly listen: ListenAddress;
	/** Binds the address; by default with one try. */
	readonly bind?: Listen;
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
		server.#port = await (options.bind ?? listen)(server.#server, options.listen);
		return server;
	}

	readonly #server: Server;
	readonly #connections: ConnectionTracker;
	readonly #handlers = new Set<RequestHandler | ForwardedRequest>();
	/** Given when the requests in progress are ended. */
	readonly #endNotice = EndNotice.create({
		onError: err => {
			this.#logEndError(err);
		},
	});

	readonly #callers = new WeakMap<Socket, CallerConnection>();
	/** Connections with a request whose rest is timed here, and not by the HTTP server. */
	readonly #selfTimed = new WeakSet<Socket>();
	#inFlight = 0;
	#port = 0;

	private constructor(private readonly options: RelayServerOptions) {
		this.#server = createServer({
			maxHeaderSize: maxHeaderBytes, headersTimeout: defaultHeaderTimeoutMs, requestTimeout: defaultHeaderTimeoutMs + defaultIdleTimeoutMs, keepAliveTimeout: defaultIdleTimeoutMs + keepAliveMarginMs, connectionsCheckingInterval: checkIntervalMs, noDelay: true,
		}, this.#onRequest);
		this.#server.on('checkContinue', this.#onRequest);
		this.#server.on('connection', (socket: Socket) => {
			const {clock, turnBudget} = options.context;
			this.#callers.set(socket, CallerConnection.create(socket, {clock, turnBudget}));
		});
		this.#server.on('clientError', (err, socket) => {
			this.#onClientError(err, socket as Socket);
		});
		this.#connections = ConnectionTracker.create(this.#server, {
			unparsedBytes: socket => this.#callers.get(socket)?.unparsedBytes ?? 0,
			isDeferred: socket => this.#callers.get(socket)?.isDeferred === true,
		});
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
		this.#endEach(handler => {
			handler.rejectIfLate();
		});
	}

	/** Ends the requests in progress whose responses have not begun with an answer; those that have not arrived completely are refused once they have. */
	endUnanswered(): void {
		this.#endEach(handler => {
			handler.endUnanswered();
		});
	}

	/** Ends all requests in progress with an answer, those that have not arrived completely too, or resets the connections of streams that have begun. */
	endRequests(): void {
		this.#endNotice.give();
		this.#endEach(handler => {
			handler.end();
		});
	}

	/** Stops listening and closes all connections immediately, those with a response in progress by a reset. */
	async close(): Promise<void> {
		this.#connections.resetAnswering();
		await closeServer(this.#server);
	}

	/** Ends requests each by itself: an error with one must not keep the others from their answers. */
	#endEach(end: (handler: RequestHandler | ForwardedRequest) => void): void {
		for (const handler of this.#handlers) {
			try {
				end(handler);
			} catch (err) {
				this.#logEndError(err);
			}
		}
	}

	#logEndError(err: unknown): void {
		this.options.context.logger.error('Cannot end a request; going on with the others.', {error: errorMessage(err), stack: err instanceof Error ? err.stack : undefined});
	}

	readonly #onRequest = (req: IncomingMessage, res: ServerResponse) => {
		void this.#handle(req, res);
	};

	/** The time of a request that this server has not read on for a while is not its caller's. */
	#onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
		if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT' && (this.#callers.get(socket)?.isHeld === true || this.#selfTimed.has(socket))) {
			this.options.context.logger.info('Gave a request more time that has waited behind others on its connection.', {port: socket.remotePort});
			return;
		}

		answerClientError(err, socket, {isAnswering: this.#connections.isAnswering(socket)});
	}

	/** Bounds the time in which the rest of a request arrives that has waited; the HTTP server counts the wait as well. */
	#timeRest(req: IncomingMessage): void {
		const {clock, logger} = this.options.context;
		const {socket} = req;
		this.#selfTimed.add(socket);
		const cancelTimer = clock.after(this.#server.requestTimeout, () => {
			logger.info('Closed the connection of a request that did not arrive in time.', {port: socket.remotePort});
			socket.destroy();
		});
		const cancel = () => {
			cancelTimer();
			this.#selfTimed.delete(socket);
		};

		req.once('end', cancel);
		req.once('close', cancel);
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {
			clock, codec, logger, requestMemory,
		} = this.options.context;
		const arrivedMs = clock.now();
		// The `close` event that follows a connection error ends the request.
		res.on('error', () => undefined);
		this.#inFlight++;
		let lease: RequestLease | undefined;
		const hasWaited = this.#connections.hasToWait(res);
		try {
			if (!await waitForTurn(req, res, {connections: this.#connections, connection: this.#callers.get(req.socket)!})) {
				logger.info('Left out a request behind the last response of its connection.', {id: codec.decodeCallerHead(req.rawHeaders).attemptId, waited_ms: Math.round(clock.now() - arrivedMs)});
				return;
			}

			if (hasWaited && !req.complete) {
				this.#timeRest(req);
			}

			const head = codec.decodeCallerHead(req.rawHeaders);
			const table = this.options.table();
			const maxBytes = table?.declarations.limits.maxBodyBytes ?? defaultMaxBodyBytes;
			const refusal = this.#findRefusal(req, head) ?? (Number(req.headers['content-length'] ?? 0) > maxBytes ? {status: 413, reason: 'body_too_large'} as const : undefined);
			if (refusal) {
				this.#reject(req, res, refusal, {id: head.attemptId, version: table?.version});
				return;
			}

			if (continueExpectation.test(req.headers.expect ?? '')) {
				res.writeContinue();
			}

			const received = await readBody(req, {
				maxBytes, headBytes: headBytesOf(req), owner: table!.team(head.teamKey)?.name ?? '', memory: requestMemory, connection: this.#callers.get(req.socket)!, endNotice: this.#endNotice,
			});
			if (typeof received === 'string') {
				this.#endIncomplete(req, res, {cause: received, id: head.attemptId, arrivedMs});
			} else {
				lease = received.lease;
				await this.#run(req, res, {head, body: received.body, arrivedMs});
			}
		} catch (err) {
			logger.error('Cannot serve a request.', {
				id: codec.decodeCallerHead(req.rawHeaders).attemptId, had_head: res.headersSent, error: errorMessage(err), stack: err instanceof Error ? err.stack : undefined,
			});
			if (res.headersSent) {
				// An orderly end would complete a response without a length.
				req.socket.resetAndDestroy();
			} else {
				sendRejection(res, {status: 502, reason: 'target_failed'}, true);
			}
		} finally {
			this.#inFlight--;
			lease?.release();
		}
	}

	/** Ends a request whose body was not received as a whole. */
	#endIncomplete(req: IncomingMessage, res: ServerResponse, {cause, id, arrivedMs}: {cause: IncompleteBody; id: string | undefined; arrivedMs: Ms}): void {
		const {clock, logger} = this.options.context;
		switch (cause) {
			case 'too_large': {
				this.#reject(req, res, {status: 413, reason: 'body_too_large'}, {id});
				break;
			}

			case 'ended': {
				this.#reject(req, res, {status: 503, reason: 'shutting_down', retryAfterMs: 50}, {id, isClosing: true});
				break;
			}

			case 'no_memory': {
				this.#reject(req, res, {status: 503, reason: 'no_memory', retryAfterMs: noMemoryRetryAfterMs}, {id});
				break;
			}

			case 'disconnected': {
				logger.info('A caller left before its request was complete.', {
					id, took_ms: Math.round(clock.now() - arrivedMs), rejecting: this.options.isRejecting(),
				});
			}
		}
	}

	/** Returns why a request cannot be relayed, by the configuration of this moment; `undefined` for one that can. */
	#findRefusal(req: IncomingMessage, head: CallerHead): Rejection | undefined {
		const table = this.options.table();
		if (!table || this.options.isRejecting()) {
			return {status: 503, reason: table ? 'shutting_down' : 'not_configured', retryAfterMs: 50};
		}

		return findRejection(table.route(head.host, req.url!), table, table.team(head.teamKey), head);
	}

	/** Relays a request that has arrived as a whole. The configuration may have changed since its head. */
	async #run(req: IncomingMessage, res: ServerResponse, {head, body, arrivedMs}: {head: CallerHead; body: Buffer; arrivedMs: Ms}): Promise<void> {
		const {context} = this.options;
		const table = this.options.table()!;
		const refusal = this.#findRefusal(req, head);
		if (refusal) {
			this.#reject(req, res, refusal, {id: head.attemptId, version: table.version});
			return;
		}

		const route = table.route(head.host, req.url!);
		const team = table.team(head.teamKey);
		const request = {
			req, res, head, attemptId: head.attemptId!, body, route: route!, team, table, arrivedMs,
		};
		if (context.reach.isCutOff && !head.isForwarded) {
			await this.#handleWith(ForwardedRequest.create(context, request));
		} else if (await this.#handleWith(RequestHandler.create(context, request)) === 'left') {
			await this.#handleWith(ForwardedRequest.create(context, request));
		}
	}

	async #handleWith(handler: RequestHandler | ForwardedRequest): Promise<'ended' | 'left'> {
		this.#handlers.add(handler);
		try {
			return await handler.run();
		} finally {
			this.#handlers.delete(handler);
		}
	}

	#reject(req: IncomingMessage, res: ServerResponse, rejection: Rejection, {id, version, isClosing = false}: {id: string | undefined; version?: number | undefined; isClosing?: boolean}): void {
		const {
			logger, metrics, isClosing: isServerClosing, clock,
		} = this.options.context;
		const {reason} = rejection;
		metrics.recordRequest({
			outcome: 'rejected', reason, tookMs: 0, firstByteMs: undefined,
		});
		const isLast = isClosing || reason === 'not_configured' || reason === 'shutting_down' || isServerClosing();
		logger.info('Rejected a request.', {
			id, reason, status: rejection.status, config: version, is_last: isLast && !mayBeFollowed(res), is_followed: isFollowed(res), unparsed_bytes: this.#callers.get(req.socket)?.unparsedBytes, is_whole: req.complete,
		});
		if (req.readableEnded || !hasBody(req)) {
			sendRejection(res, rejection, isLast);
		} else {
			sendEarlyRejection(req, res, rejection, {
				clock, connection: this.#callers.get(req.socket)!, maxDrainBytes: this.options.table()?.declarations.limits.maxBodyBytes ?? defaultMaxBodyBytes, isClosing: isLast, endNotice: this.#endNotice,
			});
		}
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

/** Estimates the memory that the head of a request takes. */
function headBytesOf({rawHeaders, url}: IncomingMessage): number {
	let bytes = requestOverheadBytes + url!.length;
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	return bytes;
}
