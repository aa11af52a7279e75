import type {Ms} from '../clock/index.js';
import {findAllowedRegions, type AllowedRegions} from '../placement/index.js';
import type {BodyEnd, BodyFraming} from './body-framing.js';
import type {RelayContext} from './relay-context.js';
import type {RoutedRequest} from './request-handler.js';
import {sendRejection} from './send-rejection.js';
import {startExchange, type Exchange} from './target-exchange.js';
import type {HttpHeaders} from './relay-codec.js';

/** Maximum number of entry VMs that a request is sent to while no byte of it has reached one. */
const maxHelpers = 2;
/** Time after the deadline in which the other entry VM's own answer may still arrive. */
const answerMarginMs: Ms = 100;
/** Number of bytes buffered for a caller above which reading is paused. */
const highWaterBytes = 256 * 1024;
/** Delay after which a caller may ask again, elsewhere or here. */
const retryAfterMs: Ms = 100;

/**
 * A request that this entry VM leaves to another one, since it is cut off from all targets: it is sent there as its
 * caller sent it, at most once, and the response is passed on as it arrives. The other entry VM chooses targets, retries,
 * and keeps limits and quarantines; it does not leave the request to a third one.
 *
 * @example
 * await ForwardedRequest.create(context, request).run();
 */
export class ForwardedRequest {
	static create(context: RelayContext, request: RoutedRequest): ForwardedRequest {
		return new ForwardedRequest(context, request);
	}

	#exchange: Exchange | undefined;
	/** Regions in which the request may be served, and so be sent to another entry VM. */
	readonly #regions: AllowedRegions;
	/** Address of the entry VM that the request was left to last, how the end of the target's response is declared, and how the response ended. */
	#helper: string | undefined;
	#framing: BodyFraming | undefined;
	/** Whether an entry VM of an earlier build says that the target has not declared the end. */
	#isUndeclared = false;
	#bodyEnd: BodyEnd | undefined;
	#isEnded = false;
	#isSent = false;
	#resolve: () => void = () => undefined;

	private constructor(private readonly context: RelayContext, private readonly request: RoutedRequest) {
		this.#regions = findAllowedRegions(request.route, request.team);
	}

	/** Resolves when the response has been passed on, or the caller has disconnected. */
	async run(): Promise<'ended'> {
		const {context, request: {res, head, route, arrivedMs}} = this;
		const deadlineMs = arrivedMs + Math.min(head.timeoutMs ?? route.timeoutMs, route.timeoutMs);
		const cancelTimeout = context.clock.after(deadlineMs + answerMarginMs - context.clock.now(), () => {
			this.#fail(504, 'no response in time');
		});
		const onClose = () => {
			if (!res.writableFinished) {
				this.#end('caller left');
			}
		};

		const onDrain = () => {
			this.#exchange?.resume();
		};

		res.on('close', onClose);
		res.on('drain', onDrain);
		await new Promise<void>(resolve => {
			this.#resolve = resolve;
			this.#send(maxHelpers);
		});
		cancelTimeout();
		res.off('close', onClose);
		res.off('drain', onDrain);
		return 'ended';
	}

	/** The other entry VM goes on with the request while this one shuts down. */
	rejectIfLate(): void {
		// Nothing to do: only `end` breaks it off.
	}

	/** Ends the request with an answer that is true, unless its response has begun. */
	endUnanswered(): void {
		if (!this.request.res.headersSent) {
			this.end();
		}
	}

	/** Ends the request, wherever it is, with an answer that is true. */
	end(): void {
		this.#fail(502, 'shutting down');
	}

	#send(helpersLeft: number): void {
		const {context, request} = this;
		const {clock, codec, peerPools, reach, placement} = context;
		const {req, head, body, arrivedMs, res} = request;
		const address = helpersLeft > 0 ? reach.helperWhere(zone => placement.allowsPeer(zone, this.#regions)) : undefined;
		if (address === undefined) {
			this.#fail(503, 'no other entry VM could be reached');
			return;
		}

		this.#helper = address;
		const remainingMs = head.timeoutMs === undefined ? undefined : Math.max(1, head.timeoutMs - (clock.now() - arrivedMs));
		this.#exchange = startExchange(peerPools, {
			address, method: req.method!, path: req.url!, headers: codec.encodeForwardedHeaders(req.rawHeaders, remainingMs), body, usesNewConnection: true,
		}, {
			onHead: (status, headers, framing) => {
				this.#isSent = true;
				this.#framing = framing;
				this.#isUndeclared = codec.hasUndeclaredEnd(headers);
				this.#writeHead(status, headers);
			},
			onData: chunk => {
				res.write(chunk);
				if (res.writableLength > highWaterBytes) {
					this.#exchange?.pause();
				}
			},
			onEnd: end => {
				this.#bodyEnd = end;
				// An entry VM of an earlier build marks what it does not know the end of; without the mark, its own end may be that of its process.
				if (this.#isUndeclared || end !== 'connection_end') {
					res.end();
					this.#end('answered');
				} else {
					this.#fail(502, 'the end of the response was not declared');
				}
			},
			onError: (err, isSent, end) => {
				this.#bodyEnd = end;
				this.#isSent ||= isSent;
				if (isSent) {
					this.#fail(502, err.message);
				} else if (!this.#isEnded) {
					context.logger.info('Cannot leave a request to another entry VM.', {id: request.attemptId, address, error: err.message});
					this.#send(helpersLeft - 1);
				}
			},
		});
	}

	/**
	 * The caller gets a response in chunks or with its length, whose end the other entry VM has made sure of; one of an
	 * earlier build does not, and says so. Callers come back on another connection, so that the load balancer can send them
	 * elsewhere.
	 */
	#writeHead(status: number, headers: HttpHeaders): void {
		const {res} = this.request;
		const length = this.#isUndeclared ? undefined : headers['content-length'] as string | undefined;
		if (this.#isUndeclared) {
			res.useChunkedEncodingByDefault = false;
		}

		res.writeHead(status, {
			...this.context.codec.decodeTargetHead(headers).forwardedHeaders,
			...(length === undefined ? {} : {'content-length': length}),
			connection: 'close',
		});
		res.flushHeaders();
		this.context.metrics.recordResponseStart();
	}

	/** Ends the request without a whole response. "Not run" is told only if nothing can have reached another entry VM. */
	#fail(status: 502 | 503 | 504, reason: string): void {
		const {res} = this.request;
		if (this.#isEnded) {
			return;
		}

		if (res.headersSent) {
			res.socket?.resetAndDestroy();
		} else {
			const isNotRun = status === 503 && !this.#isSent;
			sendRejection(res, isNotRun ? {status, reason: this.#regions === undefined ? 'cut_off' : 'no_allowed_target', retryAfterMs} : {status: status === 503 ? 502 : status, reason: status === 504 ? 'timeout' : 'target_failed'}, true);
		}

		this.#exchange?.abort(reason);
		this.#end(reason);
	}

	#end(reason: string): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#exchange?.abort(reason);
		const {context, request: {attemptId, route, res, arrivedMs}} = this;
		const tookMs = context.clock.now() - arrivedMs;
		context.metrics.recordRequest({
			outcome: 'forwarded', reason: '', tookMs, firstByteMs: undefined,
		});
		context.logger.info('Ended a request that was left to another entry VM.', {
			id: attemptId, route: route.name, helper: this.#helper, framing: this.#framing, body_end: this.#bodyEnd, end: reason, status: res.headersSent ? res.statusCode : 0, took_ms: Math.round(tookMs),
		});
		this.#resolve();
	}
}
