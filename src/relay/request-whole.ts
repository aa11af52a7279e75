import type {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {GuavamillError} from '../errors/index.js';
import {GrowingBuffer} from '../http/index.js';
import type {HttpHeaders} from './relay-codec.js';
import {dispatchExchange, type ExchangeRequest} from './target-exchange.js';

/** A response that has been received to its end. */
export interface WholeResponse {
	readonly status: number;
	readonly headers: HttpHeaders;
	readonly body: Buffer;
}

/** Options of {@link requestWhole}. */
export interface RequestWholeOptions {
	/** Maximum size of the body. */
	readonly maxBytes: number;
	/** Aborted when the response is no longer waited for. */
	readonly signal: AbortSignal;
	/** Called once the request has a connection; it counts as sent from then on. */
	readonly onStart?: () => void;
}

/**
 * Sends a request over a dispatcher whose connections are made by `createCloseAwareConnector` and resolves with its whole
 * response. Rejects if the response is not received to its end, is too large, or `signal` is aborted before; the
 * connection is then closed.
 *
 * @example
 * const {status, body} = await requestWhole(pool, {method: 'GET', path: '/report', headers: [], body}, {maxBytes: 1024, signal});
 */
export async function requestWhole(dispatcher: Dispatcher, request: Pick<ExchangeRequest, 'method' | 'path' | 'headers' | 'body'>, {maxBytes, signal, onStart}: RequestWholeOptions): Promise<WholeResponse> {
	return new Promise((resolve, reject) => {
		const body = GrowingBuffer.create();
		let head: {status: number; headers: HttpHeaders} | undefined;
		const end = () => {
			signal.removeEventListener('abort', onAbort);
		};

		const fail = (err: Error) => {
			end();
			reject(err);
		};

		const abort = (reason: string) => {
			exchange.abort(reason);
			fail(new GuavamillError(`Cannot receive a response: ${reason}`));
		};

		const onAbort = () => {
			abort('it did not arrive in time');
		};

		const exchange = dispatchExchange(dispatcher, request, {
			...(onStart ? {onStart} : {}),
			onHead(status, headers) {
				head = {status, headers};
			},
			onData(chunk) {
				if (body.length + chunk.length > maxBytes) {
					abort(`it exceeds ${maxBytes} bytes`);
				} else {
					body.append(chunk);
				}
			},
			onEnd() {
				end();
				resolve({...head!, body: body.bytes});
			},
			onError: fail,
		});
		signal.addEventListener('abort', onAbort);
		if (signal.aborted) {
			onAbort();
		}
	});
}
