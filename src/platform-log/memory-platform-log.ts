import type {Clock, Ms} from '../clock/index.js';
import {
	LogTimeoutError, LogUnavailableError, type LogPage, type LogRecord, type LogStream, type PlatformLog, type ReadOptions,
} from './platform-log.js';

/** Faults to inject into a `MemoryPlatformLog`. */
export interface LogFaults {
	/** Fails every call with `LogUnavailableError`. */
	outage?: boolean;
	/** Number of upcoming appends that take effect but fail with `LogTimeoutError`, as if the response were lost. */
	lostAppendAnswers?: number;
	/** Number of upcoming appends that fail with `LogTimeoutError` and take effect `lateAppendMs` later. */
	lateAppends?: number;
	lateAppendMs?: Ms;
	/** Delay added to each call, in ms. */
	slowMs?: Ms;
}

type StreamState = {earliest: number; records: LogRecord[]; waiters: Set<() => void>};

const defaultLateAppendMs: Ms = 200;

/**
 * In-memory platform log with fault injection. The platform stand-in serves it over HTTP.
 *
 * @example
 * const log = MemoryPlatformLog.create({clock, retentionMs: 3_600_000});
 * const {offset} = await log.append('config', [{kind: 'change'}]);
 */
export class MemoryPlatformLog implements PlatformLog {
	/** Creates an empty log; without `retentionMs`, records do not expire. */
	static create(options: {clock: Clock; retentionMs?: Ms}): MemoryPlatformLog {
		return new MemoryPlatformLog(options.clock, options.retentionMs ?? Number.POSITIVE_INFINITY);
	}

	/** Faults currently injected; assign to change them. */
	faults: LogFaults = {};
	/** Number of `append` calls that took effect. */
	appends = 0;
	readonly #streams = new Map<LogStream, StreamState>();

	private constructor(private readonly clock: Clock, private readonly retentionMs: Ms) {}

	async append(stream: LogStream, records: readonly unknown[]): Promise<{offset: number}> {
		await this.#applyDelay();
		if (this.faults.outage) {
			throw new LogUnavailableError(`Cannot append to stream ${stream}: the log is down`);
		}

		if (this.faults.lateAppends) {
			this.faults.lateAppends--;
			this.clock.after(this.faults.lateAppendMs ?? defaultLateAppendMs, () => {
				this.#store(stream, records);
			});
			throw new LogTimeoutError(`Cannot append to stream ${stream}: no answer in time`);
		}

		const offset = this.#store(stream, records);
		if (this.faults.lostAppendAnswers) {
			this.faults.lostAppendAnswers--;
			throw new LogTimeoutError(`Cannot append to stream ${stream}: no answer in time`);
		}

		return {offset};
	}

	async read(stream: LogStream, from: number, options: ReadOptions = {}): Promise<LogPage> {
		await this.#applyDelay();
		if (this.faults.outage) {
			throw new LogUnavailableError(`Cannot read stream ${stream}: the log is down`);
		}

		const state = this.#stream(stream);
		if (options.waitMs && from >= this.#nextOffset(state)) {
			await this.#waitForRecords(state, options.waitMs, options.signal);
		}

		this.#removeExpired(state);
		const start = Math.max(0, from - state.earliest);
		return {
			earliest: state.earliest,
			next: this.#nextOffset(state),
			records: state.records.slice(start, start + (options.max ?? 1000)),
		};
	}

	/** Removes the records of a stream below `offset`, as expiry does. */
	expireBelow(stream: LogStream, offset: number): void {
		const state = this.#stream(stream);
		const count = Math.min(Math.max(0, offset - state.earliest), state.records.length);
		state.records.splice(0, count);
		state.earliest += count;
	}

	async #applyDelay(): Promise<void> {
		if (this.faults.slowMs) {
			await this.clock.sleep(this.faults.slowMs);
		}
	}

	#store(stream: LogStream, records: readonly unknown[]): number {
		const state = this.#stream(stream);
		const first = this.#nextOffset(state);
		const atMs = this.clock.wall();
		for (const [index, record] of records.entries()) {
			state.records.push({offset: first + index, atMs, record: structuredClone(record)});
		}

		this.appends++;
		for (const notify of state.waiters) {
			notify();
		}

		return first;
	}

	#nextOffset(state: StreamState): number {
		return state.earliest + state.records.length;
	}

	#removeExpired(state: StreamState): void {
		const limit = this.clock.wall() - this.retentionMs;
		let count = 0;
		while (count < state.records.length && state.records[count]!.atMs < limit) {
			count++;
		}

		if (count > 0) {
			state.records.splice(0, count);
			state.earliest += count;
		}
	}

	#stream(name: LogStream): StreamState {
		let state = this.#streams.get(name);
		if (!state) {
			state = {earliest: 0, records: [], waiters: new Set()};
			this.#streams.set(name, state);
		}

		return state;
	}

	async #waitForRecords(state: StreamState, waitMs: Ms, signal?: AbortSignal): Promise<void> {
		const notified = new AbortController();
		const notify = () => {
			notified.abort();
		};

		state.waiters.add(notify);
		signal?.addEventListener('abort', notify);
		await this.clock.sleep(waitMs, notified.signal);
		state.waiters.delete(notify);
		signal?.removeEventListener('abort', notify);
	}
}
