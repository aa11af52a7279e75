import type {
	LogPage, LogStream, PlatformLog, ReadOptions,
} from '../../src/log/index.js';

/** Point at which an entry VM stops. */
export type GatePoint = 'before the append' | 'after the append' | 'after the read-back';

/** The log as one entry VM sees it. It can be stopped at a point: calls that reach the point wait until `open`. */
export class GateLog implements PlatformLog {
	static create(log: PlatformLog): GateLog {
		return new GateLog(log);
	}

	#point: GatePoint | undefined;
	#reached: () => void = () => undefined;
	#opened: Promise<void> = Promise.resolve();
	#open: () => void = () => undefined;

	private constructor(private readonly log: PlatformLog) {}

	/** Stops at a point; resolves when a call has reached it. */
	async stopAt(point: GatePoint): Promise<void> {
		this.#point = point;
		this.#opened = new Promise(resolve => {
			this.#open = resolve;
		});
		await new Promise<void>(resolve => {
			this.#reached = resolve;
		});
	}

	open(): void {
		this.#point = undefined;
		this.#open();
	}

	async append(stream: LogStream, records: readonly unknown[]): Promise<{offset: number}> {
		await this.#pass('before the append');
		const result = await this.log.append(stream, records);
		await this.#pass('after the append');
		return result;
	}

	async read(stream: LogStream, from: number, options?: ReadOptions): Promise<LogPage> {
		const page = await this.log.read(stream, from, options);
		// A paused process runs nothing: neither point lets it fold what was read.
		if (page.records.length > 0 || this.#point !== 'after the read-back') {
			await this.#pass('after the read-back', this.#point !== undefined);
		}

		return page;
	}

	async #pass(point: GatePoint, isStopped = this.#point === point): Promise<void> {
		if (isStopped) {
			if (this.#point === point) {
				this.#reached();
			}

			await this.#opened;
		}
	}
}
