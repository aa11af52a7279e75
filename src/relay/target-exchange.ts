import type {Buffer} from 'node:buffer';
import {Client, type Dispatcher} from 'undici';
import {SystemClock} from '../clock/index.js';
import {errorMessage, GuavamillError} from '../errors/index.js';
import {
	framingOf, type BodyEnd, type BodyFraming, type WholeBodyEnd,
} from './body-framing.js';
import {classifyStatus} from './classify-status.js';
import type {HttpHeaders} from './relay-codec.js';
import {currentCloseEvent} from './close-aware-connector.js';
import type {EndedConnection} from './ended-connection.js';
import type {TargetPools} from './target-pools.js';
import {watchResponseEnd, type ConnectionEnd} from './watch-response-end.js';

const clock = SystemClock.create();

/** Maximum number of interim responses (1xx) to a request; a target may send them without end. */
const maxInterimResponses = 32;

/** How bodies ended, by the codes of errors; other errors are failures. */
const endsByCode: ReadonlyMap<string, BodyEnd> = new Map([['ECONNRESET', 'reset'], ['UND_ERR_SOCKET', 'early_end'], ['UND_ERR_RES_CONTENT_LENGTH_MISMATCH', 'early_end'], ['HPE_INVALID_EOF_STATE', 'early_end']]);

/** One HTTP request to a target. */
export interface ExchangeRequest {
	readonly address: string;
	readonly method: string;
	readonly path: string;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly body: Buffer;
	/** True to use a new connection, on which no data of an earlier exchange can arrive. */
	readonly usesNewConnection: boolean;
}

/** Callbacks of an exchange. Unless it is aborted, exactly one of `onEnd` and `onError` is called, as the last one. */
export interface ExchangeListener {
	/** Called once the request has a connection; it counts as sent from then on. */
	onStart?(): void;
	onHead(status: number, headers: HttpHeaders, framing: BodyFraming): void;
	onData(chunk: Buffer): void;
	onEnd(end: WholeBodyEnd): void;
	/** `isSent` is false if no byte of the request can have reached the target. */
	onError(err: Error, isSent: boolean, end: BodyEnd): void;
}

/** An HTTP exchange in progress. */
export interface Exchange {
	/** Whether the request has had a connection; until then, no byte of it can have reached the target. */
	readonly isStarted: boolean;
	/** Closes the connection; no further callback is called. */
	abort(reason: string): void;
	pause(): void;
	resume(): void;
}

/**
 * Sends one request to a target over undici.
 *
 * @example
 * const exchange = startExchange(pools, request, listener);
 */
export function startExchange(pools: TargetPools, request: ExchangeRequest, listener: ExchangeListener): Exchange {
	const client = request.usesNewConnection ? new Client(`http://${request.address}`, pools.connectOptions(request.address)) : undefined;
	return dispatchExchange(client ?? pools.get(request.address), request, listener, client);
}

/**
 * Sends one request over a dispatcher whose connections are made by `createCloseAwareConnector`; `ownClient` is destroyed
 * after the exchange.
 *
 * @internal
 */
export function dispatchExchange(dispatcher: Dispatcher, request: Pick<ExchangeRequest, 'method' | 'path' | 'headers' | 'body'>, listener: ExchangeListener, ownClient?: Client): Exchange {
	const handler = new ExchangeHandler(listener, ownClient, {method: request.method, bytes: request.body.length});
	dispatcher.dispatch({
		method: request.method,
		path: request.path,
		headers: request.headers,
		body: request.body.length > 0 ? request.body : null,
		headersTimeout: 0,
		bodyTimeout: 0,
	}, handler);
	return handler;
}

class ExchangeHandler implements Dispatcher.DispatchHandler, Exchange {
	#controller: Dispatcher.DispatchController | undefined;
	#isEnded = false;
	#status = 0;
	#framing: BodyFraming = 'length';
	/** Connection whose end is judged. */
	#endedConnection: EndedConnection | undefined;
	#abortReason: string | undefined;
	#interimResponses = 0;

	constructor(private readonly listener: ExchangeListener, private readonly client: Client | undefined, private readonly request: {readonly method: string; readonly bytes: number}) {}

	get isStarted(): boolean {
		return this.#controller !== undefined;
	}

	abort(reason: string): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#abortReason = reason;
		this.#controller?.abort(new GuavamillError(`Cannot continue the exchange: ${reason}`));
		this.#endedConnection?.release();
		this.#release();
	}

	pause(): void {
		this.#controller?.pause();
	}

	resume(): void {
		// undici would parse on behind the end of a connection that is still open.
		if (!this.#endedConnection) {
			this.#controller?.resume();
		}
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#abortReason !== undefined) {
			controller.abort(new GuavamillError(`Cannot continue the exchange: ${this.#abortReason}`));
			return;
		}

		this.#controller = controller;
		this.listener.onStart?.();
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: HttpHeaders): void {
		if (this.#isEnded) {
			return;
		}

		const statusClass = classifyStatus(status);
		if (statusClass === 'invalid') {
			this.#refuse(controller, `status ${status} is none in HTTP`);
			return;
		}

		if (statusClass === 'informational') {
			if (++this.#interimResponses > maxInterimResponses) {
				this.#refuse(controller, `more than ${maxInterimResponses} interim responses`);
			}

			return;
		}

		this.#status = status;
		this.#framing = framingOf({method: this.request.method, status, headers});
		this.listener.onHead(status, headers, this.#framing);
	}

	#refuse(controller: Dispatcher.DispatchController, reason: string): void {
		const err = new GuavamillError(reason);
		controller.abort(err);
		this.onResponseError(controller, err);
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (!this.#isEnded) {
			this.listener.onData(chunk);
		}
	}

	onResponseEnd(): void {
		const closeEvent = currentCloseEvent();
		if (closeEvent.kind === 'none' && this.#framing !== 'connection') {
			this.#end(this.#framing === 'chunked' ? 'last_chunk' : 'length');
		} else if (closeEvent.kind === 'ended' && this.#framing !== 'chunked') {
			void this.#endUnlessCut(closeEvent, this.#framing === 'length' ? 'length' : 'connection_end');
		} else {
			this.#failIncomplete(closeEvent.kind === 'none' ? 'closed' : closeEvent.kind, closeEvent.kind === 'failed' ? 'reset' : 'early_end');
		}
	}

	async #endUnlessCut(connectionEnd: ConnectionEnd, end: WholeBodyEnd): Promise<void> {
		this.#endedConnection = connectionEnd.connection;
		const {verdict, waitedMs} = await watchResponseEnd(connectionEnd, {end, status: this.#status, requestBytes: this.request.bytes}, clock);
		if (verdict === 'whole') {
			this.#end(end);
		} else {
			this.#failIncomplete(verdict === 'reset' ? `reset (${Math.round(waitedMs)} ms after its end)` : `ended (request not written ${Math.round(waitedMs)} ms later)`, verdict);
		}
	}

	#end(end: WholeBodyEnd): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			this.listener.onEnd(end);
			this.#release();
		}
	}

	#failIncomplete(how: string, end: BodyEnd): void {
		this.#fail(new GuavamillError(`connection ${how} before the response was complete`), end);
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
		this.#fail(err, endsByCode.get((err as NodeJS.ErrnoException).code ?? '') ?? 'failed');
	}

	#fail(err: Error, end: BodyEnd): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			this.listener.onError(new GuavamillError(`Cannot complete the exchange: ${errorMessage(err)}`, {cause: err}), this.#controller !== undefined, end);
			this.#release();
		}
	}

	#release(): void {
		if (this.client) {
			// A new connection serves only this exchange.
			void this.client.destroy();
		}
	}
}
