import type {
	LogPage, LogStream, PlatformLog, ReadOptions,
} from '../../src/platform-log/index.js';

/** Point in a log call at which an entry VM is stopped. */
export type GatePoint = 'before the append' | 'after the append' | 'after the read-back';

/** Wrapper of the log for one entry VM that can block calls at a chosen point until `open` is called. */
export class GateLog implements PlatformLog {
	static create(log: PlatformLog): GateLog {
		return new GateLog(log);
	}

	#point: GatePoint | undefined;
	#reached: () => void = () => undefined;
	#opened: Promise<void> = Promise.resolve();
	#open: () => void = () => undefined;

	private constructor(private readonly log: PlatformLog) {}

	/** Blocks calls that reach a point; resolves once the first call has reached it. */
	async stopAt(point: GatePoint): Promise<void> {
		this.#point = point;
		this.#opened = new Promise(resolve => {
			this.#open = resolve;
		});
		await new Promise<void>(resolve => {
			this.#reached = resolve;
		});
	}

	/** Releases the blocked calls. */
	open(): void {
		this.#point = undefined;
		this.#open();
	}

	async append(stream: LogStream, records: readonly unknown[]): Promise<{offset: number}> {
		await this.#waitAt('before the append');
		const result = await this.log.append(stream, records);
		await this.#waitAt('after the append');
		return result;
	}

	async read(stream: LogStream, from: number, options?: ReadOptions): Promise<LogPage> {
		const page = await this.log.read(stream, from, options);
		// A paused process handles no records, whichever point it is stopped at.
		if (page.records.length > 0 || this.#point !== 'after the read-back') {
			await this.#waitAt('after the read-back', this.#point !== undefined);
		}

		return page;
	}

	async #waitAt(point: GatePoint, isStopped = this.#point === point): Promise<void> {
		if (isStopped) {
			if (this.#point === point) {
				this.#reached();
			}

			await this.#opened;
		}
	}
}
