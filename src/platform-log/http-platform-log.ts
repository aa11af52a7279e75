import {Pool} from 'undici';
import {z} from 'zod';
import type {Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {linkController} from '../signals/index.js';
import {
	LogTimeoutError, LogUnavailableError, type LogPage, type LogStream, type PlatformLog, type ReadOptions,
} from './platform-log.js';

const defaultTimeoutMs: Ms = 2000;
/** Margin added to the `waitMs` of a read before the request times out. */
const readTimeoutMarginMs: Ms = 2000;
/** Appends use one connection at a time; each reader that long-polls occupies one more. */
const maxConnections = 8;

const appendResponseSchema = z.object({offset: z.number().int()});
const pageResponseSchema = z.object({
	earliest: z.number().int(),
	next: z.number().int(),
	records: z.array(z.object({offset: z.number().int(), at_ms: z.number(), record: z.unknown()})),
});

/**
 * Client of the platform log over HTTP.
 *
 * @example
 * const log = HttpPlatformLog.create('http://127.0.0.1:7100');
 */
export class HttpPlatformLog implements PlatformLog {
	/** Creates a client of the log at the given HTTP origin, such as `http://127.0.0.1:7100`. */
	static create(origin: string): HttpPlatformLog {
		return new HttpPlatformLog(new Pool(origin, {connections: maxConnections, headersTimeout: 0, bodyTimeout: 0}));
	}

	private constructor(private readonly pool: Pool) {}

	async append(stream: LogStream, records: readonly unknown[], options: {timeoutMs?: Ms} = {}): Promise<{offset: number}> {
		let status: number;
		let body: unknown;
		try {
			const res = await this.pool.request({
				method: 'POST',
				path: `/v1/streams/${stream}/records`,
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({records}),
				signal: AbortSignal.timeout(options.timeoutMs ?? defaultTimeoutMs),
			});
			status = res.statusCode;
			body = await res.body.json();
		} catch (err) {
			if (isConnectError(err)) {
				throw new LogUnavailableError(`Cannot append to stream ${stream}: ${errorMessage(err)}`, {cause: err});
			}

			throw new LogTimeoutError(`Cannot append to stream ${stream}: ${errorMessage(err)}`, {cause: err});
		}

		if (status === 503) {
			throw new LogUnavailableError(`Cannot append to stream ${stream}: the log answered 503`);
		}

		const reply = appendResponseSchema.safeParse(body);
		if (status !== 200 || !reply.success) {
			throw new LogTimeoutError(`Cannot append to stream ${stream}: the log answered ${status}`);
		}

		return reply.data;
	}

	async read(stream: LogStream, from: number, options: ReadOptions = {}): Promise<LogPage> {
		const timeout = AbortSignal.timeout((options.waitMs ?? 0) + readTimeoutMarginMs);
		const {controller, unlink} = linkController(options.signal ? [options.signal, timeout] : [timeout]);
		try {
			const res = await this.pool.request({
				method: 'GET',
				path: `/v1/streams/${stream}/records?from=${from}&max=${options.max ?? 1000}&wait_ms=${options.waitMs ?? 0}`,
				signal: controller.signal,
			});
			const body = await res.body.json();
			if (res.statusCode !== 200) {
				throw new LogUnavailableError(`Cannot read stream ${stream}: the log answered ${res.statusCode}`);
			}

			const page = pageResponseSchema.parse(body);
			return {
				earliest: page.earliest,
				next: page.next,
				records: page.records.map(entry => ({offset: entry.offset, atMs: entry.at_ms, record: entry.record})),
			};
		} catch (err) {
			if (err instanceof LogUnavailableError) {
				throw err;
			}

			throw new LogUnavailableError(`Cannot read stream ${stream}: ${errorMessage(err)}`, {cause: err});
		} finally {
			unlink();
		}
	}

	/** Closes all connections and aborts requests in flight. */
	async close(): Promise<void> {
		await this.pool.destroy();
	}
}

const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

function isConnectError(err: unknown): boolean {
	return connectErrorCodes.has((err as {code?: string}).code ?? '');
}
