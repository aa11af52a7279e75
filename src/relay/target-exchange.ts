import type {Buffer} from 'node:buffer';
import {Client, type Dispatcher} from 'undici';
import {errorMessage, GuavamillError} from '../errors/index.js';
import type {HttpHeaders} from './relay-codec.js';
import {connectionClosing} from './close-aware-connector.js';
import {connectOptions, type TargetPools} from './target-pools.js';

/** One call to a target. */
export interface ExchangeRequest {
	readonly address: string;
	readonly method: string;
	readonly path: string;
	/** Names and values by turns. */
	readonly headers: string[];
	readonly body: Buffer;
	/** True for a connection of its own: nothing of an earlier exchange can arrive on it. */
	readonly isFresh: boolean;
}

/** Listeners of an exchange; exactly one of `onEnd` and `onError` is called, last. */
export interface ExchangeListener {
	onHead(status: number, headers: HttpHeaders): void;
	onData(chunk: Buffer): void;
	onEnd(): void;
	/** `isSent` is false where no byte of the request can have reached the target. */
	onError(err: Error, isSent: boolean): void;
}

/** A call in progress. */
export interface Exchange {
	/** Closes the connection; the listener hears nothing more. */
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
	const client = request.isFresh ? new Client(`http://${request.address}`, connectOptions) : undefined;
	const handler = new ExchangeHandler(listener, client);
	const dispatcher: Dispatcher = client ?? pools.get(request.address);
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
	/** A chunked answer tells its own end; one without a length ends with its connection. */
	#isChunked = false;
	#abortReason: string | undefined;

	constructor(private readonly listener: ExchangeListener, private readonly client: Client | undefined) {}

	abort(reason: string): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#abortReason = reason;
		this.#controller?.abort(new GuavamillError(`Cannot go on with the call: ${reason}`));
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
			controller.abort(new GuavamillError(`Cannot go on with the call: ${this.#abortReason}`));
			return;
		}

		this.#controller = controller;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: HttpHeaders): void {
		this.#isChunked = headers['transfer-encoding'] !== undefined;
		if (!this.#isEnded && status >= 200) {
			this.listener.onHead(status, headers);
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (!this.#isEnded) {
			this.listener.onData(chunk);
		}
	}

	onResponseEnd(): void {
		const closing = connectionClosing();
		if (closing === 'failed' || (closing === 'ended' && this.#isChunked)) {
			this.onResponseError(undefined, new GuavamillError(`the connection ${closing} before the answer was whole`));
		} else if (!this.#isEnded) {
			this.#isEnded = true;
			this.listener.onEnd();
			this.#release();
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, err: Error): void {
		if (!this.#isEnded) {
			this.#isEnded = true;
			this.listener.onError(new GuavamillError(`Cannot finish the call: ${errorMessage(err)}`, {cause: err}), this.#controller !== undefined);
			this.#release();
		}
	}

	#release(): void {
		if (this.client) {
			// A connection of its own serves one exchange.
			void this.client.destroy();
		}
	}
}
