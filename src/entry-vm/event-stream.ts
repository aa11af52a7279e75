import type {ServerResponse} from 'node:http';
import {isRejection, type RequestResult} from '../requests/index.js';

/** Limit of buffered output; a caller that reads too slowly and exceeds it is disconnected. */
const maxUnsentBytes = 1024 * 1024;

/**
 * Server-sent event stream of one request: chunks and keep-alives, then exactly one `answer` or `error` event.
 *
 * @internal
 */
export class EventStream {
	static create(res: ServerResponse): EventStream {
		res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		res.flushHeaders();
		return new EventStream(res);
	}

	#isEnded = false;

	private constructor(private readonly res: ServerResponse) {}

	/** Sends several chunks in one write. */
	sendChunks(texts: readonly string[], firstIndex: number): void {
		let frames = '';
		for (const [offset, text] of texts.entries()) {
			frames += `event: chunk\ndata: {"index":${firstIndex + offset},"text":${JSON.stringify(text)}}\n\n`;
		}

		this.#write(frames);
	}

	sendKeepAlive(): void {
		this.#write('event: keepalive\ndata: {}\n\n');
	}

	/** Sends the final event and ends the stream. */
	end(result: RequestResult): void {
		if (this.#isEnded) {
			return;
		}

		this.#write(`event: ${isRejection(result) ? 'error' : 'answer'}\ndata: ${JSON.stringify(result)}\n\n`);
		this.#isEnded = true;
		this.res.end();
	}

	#write(text: string): void {
		if (this.#isEnded || this.res.destroyed) {
			return;
		}

		if (this.res.writableLength > maxUnsentBytes) {
			this.res.destroy();
			return;
		}

		this.res.write(text);
	}
}
