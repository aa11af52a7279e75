import type {Buffer} from 'node:buffer';
import {Client, type Dispatcher} from 'undici';
import {errorMessage, GuavamillError} from '../errors/index.js';
import {
	framingOf, type BodyEnd, type BodyFraming, type WholeBodyEnd,
} from './body-framing.js';
import type {HttpHeaders} from './relay-codec.js';
import {currentCloseEvent} from './close-aware-connector.js';
import {connectOptions, type TargetPools} from './target-pools.js';

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
	const client = request.usesNewConnection ? new Client(`http://${request.address}`, connectOptions) : undefined;
	return dispatchExchange(client ?? pools.get(request.address), request, listener, client);
}

/**
 * Sends one request over a dispatcher whose connections are made by `createCloseAwareConnector`; `ownClient` is destroyed
 * after the exchange.
 *
 * @internal
 */
export function dispatchExchange(dispatcher: Dispatcher, request: Pick<ExchangeRequest, 'method' | 'path' | 'headers' | 'body'>, listener: ExchangeListener, ownClient?: Client): Exchange {
	const handler = new ExchangeHandler(listener, ownClient, request.method);
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
	#framing: BodyFraming = 'length';
	#abortReason: string | undefined;
	#interimResponses = 0;

	constructor(private readonly listener: ExchangeListener, private readonly client: Client | undefined, private readonly method: string) {}

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
		this.#release();
	}

	pause(): void {
		this.#controller?.pause();
	}

	resume(): void {
		this.#controller?.resume();
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

		if (status < 200) {
			if (++this.#interimResponses > maxInterimResponses) {
				const err = new GuavamillError(`more than ${maxInterimResponses} interim responses`);
				controller.abort(err);
				this.onResponseError(controller, err);
			}

			return;
		}

		this.#framing = framingOf({method: this.method, status, headers});
		this.listener.onHead(status, headers, this.#framing);
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
			void this.#endUnlessReset(closeEvent.wasReset, this.#framing === 'length' ? 'length' : 'connection_end');
		} else {
			this.#failIncomplete(closeEvent.kind === 'none' ? 'closed' : closeEvent.kind, closeEvent.kind === 'failed' ? 'reset' : 'early_end');
		}
	}

	async #endUnlessReset(wasReset: Promise<boolean>, end: WholeBodyEnd): Promise<void> {
		if (await wasReset) {
			this.#failIncomplete('reset', 'reset');
		} else {
			this.#end(end);
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
