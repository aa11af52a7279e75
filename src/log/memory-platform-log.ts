import type {Clock, Ms} from '../clock/index.js';
import {
	LogTimeoutError, LogUnavailableError, type LogPage, type LogRecord, type LogStream, type PlatformLog, type ReadOptions,
} from './platform-log.js';

/** Faults that can be asked of the log. */
export interface LogFaults {
	/** Refuses every call. */
	outage?: boolean;
	/** Appends, but the answer is lost: the next N appends. */
	lostAppendAnswers?: number;
	/** The next N appends time out and land after `lateAppendMs`. */
	lateAppends?: number;
	lateAppendMs?: Ms;
	/** Delay of each call in ms. */
	slowMs?: Ms;
}

type StreamState = {earliest: number; records: LogRecord[]; waiters: Set<() => void>};

const defaultLateMs: Ms = 200;

/**
 * Platform log in memory with faults on request. The stand-in process serves this class over HTTP.
 *
 * @example
 * const log = MemoryPlatformLog.create({clock, retentionMs: 3_600_000});
 * const {offset} = await log.append('config', [{kind: 'change'}]);
 */
export class MemoryPlatformLog implements PlatformLog {
	static create(options: {clock: Clock; retentionMs?: Ms}): MemoryPlatformLog {
		return new MemoryPlatformLog(options.clock, options.retentionMs ?? Number.POSITIVE_INFINITY);
	}

	/** Faults in force; tests set them directly. */
	faults: LogFaults = {};
	/** Number of append calls that took effect. */
	appends = 0;
	readonly #streams = new Map<LogStream, StreamState>();

	private constructor(private readonly clock: Clock, private readonly retentionMs: Ms) {}

	async append(stream: LogStream, records: readonly unknown[]): Promise<{offset: number}> {
		await this.#delay();
		if (this.faults.outage) {
			throw new LogUnavailableError(`Cannot append to stream ${stream}: the log is down`);
		}

		if (this.faults.lateAppends) {
			this.faults.lateAppends--;
			this.clock.after(this.faults.lateAppendMs ?? defaultLateMs, () => {
				this.#land(stream, records);
			});
			throw new LogTimeoutError(`Cannot append to stream ${stream}: no answer in time`);
		}

		const offset = this.#land(stream, records);
		if (this.faults.lostAppendAnswers) {
			this.faults.lostAppendAnswers--;
			throw new LogTimeoutError(`Cannot append to stream ${stream}: no answer in time`);
		}

		return {offset};
	}

	async read(stream: LogStream, from: number, options: ReadOptions = {}): Promise<LogPage> {
		await this.#delay();
		if (this.faults.outage) {
			throw new LogUnavailableError(`Cannot read stream ${stream}: the log is down`);
		}

		const state = this.#stream(stream);
		if (options.waitMs && from >= this.#next(state)) {
			await this.#wait(state, options.waitMs, options.signal);
		}

		this.#expire(state);
		const start = Math.max(0, from - state.earliest);
		return {
			earliest: state.earliest,
			next: this.#next(state),
			records: state.records.slice(start, start + (options.max ?? 1000)),
		};
	}

	/** Drops every record of a stream below an offset, as expiry does. */
	expireBelow(stream: LogStream, offset: number): void {
		const state = this.#stream(stream);
		const count = Math.min(Math.max(0, offset - state.earliest), state.records.length);
		state.records.splice(0, count);
		state.earliest += count;
	}

	async #delay(): Promise<void> {
		if (this.faults.slowMs) {
			await this.clock.sleep(this.faults.slowMs);
		}
	}

	#land(stream: LogStream, records: readonly unknown[]): number {
		const state = this.#stream(stream);
		const first = this.#next(state);
		const atMs = this.clock.wall();
		for (const [index, record] of records.entries()) {
			state.records.push({offset: first + index, atMs, record: structuredClone(record)});
		}

		this.appends++;
		for (const wake of state.waiters) {
			wake();
		}

		return first;
	}

	#next(state: StreamState): number {
		return state.earliest + state.records.length;
	}

	#expire(state: StreamState): void {
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

	async #wait(state: StreamState, waitMs: Ms, signal?: AbortSignal): Promise<void> {
		const woken = new AbortController();
		const wake = () => {
			woken.abort();
		};

		state.waiters.add(wake);
		signal?.addEventListener('abort', wake);
		await this.clock.sleep(waitMs, woken.signal);
		state.waiters.delete(wake);
		signal?.removeEventListener('abort', wake);
	}
}
