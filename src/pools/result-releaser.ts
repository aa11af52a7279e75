import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logs/index.js';
import type {StageTargetPort} from './stage-target-port.js';

/** Handles are collected this long, so that one call frees the results of several requests. */
const collectMs: Ms = 15;

/**
 * Frees results at their makers, several at once. A result that cannot be freed lapses at its maker by itself.
 *
 * @internal
 */
export class ResultReleaser {
	static create(options: {clock: Clock; port: StageTargetPort; logger: PartLogger; onFreed: (handle: string) => void}): ResultReleaser {
		return new ResultReleaser(options.clock, options.port, options.logger, options.onFreed);
	}

	readonly #waiting = new Map<string, string[]>();
	#cancel: CancelTimer | undefined;

	private constructor(private readonly clock: Clock, private readonly port: StageTargetPort, private readonly logger: PartLogger, private readonly onFreed: (handle: string) => void) {}

	free(handles: readonly string[]): void {
		for (const handle of handles) {
			const maker = this.port.producerOf(handle);
			const waiting = this.#waiting.get(maker);
			if (waiting) {
				waiting.push(handle);
			} else {
				this.#waiting.set(maker, [handle]);
			}
		}

		this.#cancel ??= this.clock.after(collectMs, () => {
			this.#cancel = undefined;
			this.#flush();
		});
	}

	#flush(): void {
		const waiting = [...this.#waiting];
		this.#waiting.clear();
		for (const [maker, handles] of waiting) {
			void this.#send(maker, handles);
		}
	}

	async #send(maker: string, handles: readonly string[]): Promise<void> {
		try {
			await this.port.free(maker, handles);
			for (const handle of handles) {
				this.onFreed(handle);
			}
		} catch (err) {
			this.logger.warn('Cannot free results; they lapse at their maker.', {maker, results: handles.length, error: errorMessage(err)});
		}
	}
}
