import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';
import type {StageTargetPort} from './stage-target-port.js';

/** Time for which handles are collected, so that one call frees the results of several requests. */
const batchDelayMs: Ms = 15;

/**
 * Frees results in batches at the targets that produced them. A result that cannot be freed expires there after its TTL.
 *
 * @internal
 */
export class ResultReleaser {
	static create(options: {clock: Clock; port: StageTargetPort; logger: PartLogger; onFreed: (handle: string) => void}): ResultReleaser {
		return new ResultReleaser(options.clock, options.port, options.logger, options.onFreed);
	}

	readonly #pending = new Map<string, string[]>();
	#cancel: CancelTimer | undefined;

	private constructor(private readonly clock: Clock, private readonly port: StageTargetPort, private readonly logger: PartLogger, private readonly onFreed: (handle: string) => void) {}

	/** Queues results for release. */
	free(handles: readonly string[]): void {
		for (const handle of handles) {
			const producer = this.port.producerOf(handle);
			const pending = this.#pending.get(producer);
			if (pending) {
				pending.push(handle);
			} else {
				this.#pending.set(producer, [handle]);
			}
		}

		this.#cancel ??= this.clock.after(batchDelayMs, () => {
			this.#cancel = undefined;
			this.#flush();
		});
	}

	#flush(): void {
		const pending = [...this.#pending];
		this.#pending.clear();
		for (const [producer, handles] of pending) {
			void this.#send(producer, handles);
		}
	}

	async #send(producer: string, handles: readonly string[]): Promise<void> {
		try {
			await this.port.free(producer, handles);
			for (const handle of handles) {
				this.onFreed(handle);
			}
		} catch (err) {
			this.logger.warn('Cannot free results; they expire after their TTL.', {maker: producer, results: handles.length, error: errorMessage(err)});
		}
	}
}
