import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {GrowingBuffer} from '../http/index.js';
import type {CallerConnection} from './caller-connection.js';
import type {EndNotice} from './end-notice.js';
import {smallRequestBytes, type RequestLease, type RequestMemory} from './request-memory.js';

/** A body that was received as a whole, and the memory that it takes until `lease` is released. */
export interface ReceivedBody {
	readonly body: Buffer;
	readonly lease: RequestLease;
}

/**
 * Why a body was not received as a whole: it exceeds the limit, its caller left, the requests in progress were ended, or
 * there was no memory for it.
 */
export type IncompleteBody = 'too_large' | 'disconnected' | 'ended' | 'no_memory';

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
	readonly maxBytes: number;
	/** Memory that the head takes, in bytes. */
	readonly headBytes: number;
	/** Who sends the request; the memory is shared between owners. */
	readonly owner: string;
	readonly memory: RequestMemory;
	readonly connection: Pick<CallerConnection, 'hold' | 'isDeferred'>;
	/** Given when requests that have not arrived are ended. */
	readonly endNotice: EndNotice;
}

/**
 * Reads the body of a request as far as there is memory for it; resolves with why not if it is not received as a whole. The
 * request is then no longer read.
 *
 * @example
 * const received = await readBody(req, {maxBytes, headBytes, owner, memory, connection, endNotice});
 */
export async function readBody(req: IncomingMessage, options: ReadBodyOptions): Promise<ReceivedBody | IncompleteBody> {
	return new Promise(resolve => {
		new BodyReader(req, options, resolve).start();
	});
}

class BodyReader {
	/** Lets the connection be read on that waits for memory. */
	#release: () => void = () => undefined;
	/** Length that the head tells; `undefined` for a body in chunks. */
	readonly #length: number | undefined;
	/** Takes the memory of the whole body only once that is granted: a hundred callers that wait would take it all at once. */
	readonly #body = GrowingBuffer.create();
	#lease: RequestLease | undefined;
	#isGranted = false;
	/** Whether a body in chunks has asked for the memory of the largest one. */
	#isLarge = false;
	#isEnded = false;
	#isFinished = false;

	constructor(private readonly req: IncomingMessage, private readonly options: ReadBodyOptions, private readonly resolve: (outcome: ReceivedBody | IncompleteBody) => void) {
		this.#length = req.headers['transfer-encoding'] === undefined ? Number(req.headers['content-length'] ?? 0) : undefined;
	}

	start(): void {
		const {
			req, options: {
				endNotice, memory, owner, headBytes, maxBytes, connection,
			},
		} = this;
		req.on('readable', this.#onReadable);
		req.on('end', this.#onEnd);
		req.on('error', this.#onDisconnected);
		req.on('close', this.#onDisconnected);
		req.socket.on('close', this.#onDisconnected);
		endNotice.add(this.#onAbort);
		const lease = memory.claim({
			bytes: headBytes + (this.#length ?? Math.min(smallRequestBytes - headBytes, maxBytes)),
			owner,
			isDeferred: () => connection.isDeferred,
			onRefused: () => {
				this.#finish('no_memory');
			},
		}, () => {
			this.#onGranted();
		});
		this.#lease = lease;
		if (endNotice.isGiven) {
			this.#onAbort();
		}

		if (this.#isFinished) {
			lease.release();
		} else if (!this.#isGranted) {
			this.#release = connection.hold();
		}
	}

	readonly #onGranted = () => {
		this.#isGranted = true;
		if (!this.#isEnded) {
			this.#body.reserve(this.#length ?? (this.#isLarge ? this.options.maxBytes : 0));
		}

		this.#release();
		this.#completeIfWhole();
	};

	/** Takes all that has been read at once: bytes of many small chunks cost much less so. */
	readonly #onReadable = () => {
		for (let chunk = this.#read(); chunk; chunk = this.#read()) {
			this.#take(chunk);
		}
	};

	#read(): Buffer | undefined {
		return this.#isFinished ? undefined : (this.req.read() as Buffer | null) ?? undefined;
	}

	#take(chunk: Buffer): void {
		const {maxBytes, headBytes} = this.options;
		if (this.#body.length + chunk.length > maxBytes) {
			this.#finish('too_large');
			return;
		}

		this.#body.append(chunk);
		this.#lease?.received(chunk.length);
		if (this.#length === undefined && !this.#isLarge && this.#body.length > smallRequestBytes - headBytes) {
			this.#growLarge();
		}
	}

	/** Asks for the memory of the largest body, since the length of one in chunks is not known before its end. */
	#growLarge(): void {
		const {maxBytes, headBytes} = this.options;
		this.#isLarge = true;
		this.#isGranted = false;
		this.#release = this.options.connection.hold();
		this.#lease!.resize(headBytes + maxBytes, this.#onGranted);
	}

	/** What arrived in one read with the head may be whole before there is memory for it. */
	readonly #onEnd = () => {
		this.#isEnded = true;
		this.req.off('close', this.#onDisconnected);
		this.#completeIfWhole();
	};

	#completeIfWhole(): void {
		if (this.#isEnded && this.#isGranted && !this.#isFinished) {
			const bytes = this.#body.trim();
			this.#lease!.complete(this.options.headBytes + this.#body.capacity);
			this.#finish({body: bytes, lease: this.#lease!});
		}
	}

	readonly #onDisconnected = () => {
		this.#finish('disconnected');
	};

	readonly #onAbort = () => {
		this.#finish('ended');
	};

	#finish(outcome: ReceivedBody | IncompleteBody): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#release();
		const {req, options: {endNotice}} = this;
		endNotice.remove(this.#onAbort);
		req.off('readable', this.#onReadable);
		req.off('end', this.#onEnd);
		req.socket.off('close', this.#onDisconnected);
		this.#body.clear();
		if (typeof outcome === 'string') {
			this.#lease?.release();
		}

		this.resolve(outcome);
	}
}
