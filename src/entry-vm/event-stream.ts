import type {ServerResponse} from 'node:http';
import {isRejection, type RequestResult} from '../requests/index.js';

/** A caller that leaves this much unread is disconnected. */
const maxUnreadBytes = 1024 * 1024;

/**
 * Server-sent events of one request: chunks, keep-alives, then exactly one `answer` or `error`.
 *
 * @internal
 */
export class EventStream {
	static create(res: ServerResponse): EventStream {
		res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		res.flushHeaders();
		return new EventStream(res);
	}

	#ended = false;

	private constructor(private readonly res: ServerResponse) {}

	/** Sends a batch of chunks in one write. */
	chunks(texts: readonly string[], firstIndex: number): void {
		let out = '';
		for (const [offset, text] of texts.entries()) {
			out += `event: chunk\ndata: {"index":${firstIndex + offset},"text":${JSON.stringify(text)}}\n\n`;
		}

		this.#write(out);
	}

	keepAlive(): void {
		this.#write('event: keepalive\ndata: {}\n\n');
	}

	/** Sends the last event and ends the stream. */
	end(result: RequestResult): void {
		if (this.#ended) {
			return;
		}

		this.#write(`event: ${isRejection(result) ? 'error' : 'answer'}\ndata: ${JSON.stringify(result)}\n\n`);
		this.#ended = true;
		this.res.end();
	}

	#write(text: string): void {
		if (this.#ended || this.res.destroyed) {
			return;
		}

		if (this.res.writableLength > maxUnreadBytes) {
			this.res.destroy();
			return;
		}

		this.res.write(text);
	}
}
