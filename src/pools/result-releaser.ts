import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';
import {HeldBackError} from './held-back-error.js';
import type {StageTargetPort} from './stage-target-port.js';

/** Time for which handles are collected, so that one call frees the results of several requests. */
const batchDelayMs: Ms = 15;

/** Options of {@link ResultReleaser}. */
type ResultReleaserOptions = {
	readonly clock: Clock;
	readonly port: StageTargetPort;
	readonly logger: PartLogger;
	readonly mayCall: (producer: string) => boolean;
	readonly onFreed: (handle: string) => void;
	readonly onHeldBack?: (producer: string, retryAfterMs: Ms) => void;
};

/**
 * Frees results in batches at the targets that produced them. A result that cannot be freed expires there after its TTL.
 *
 * @internal
 */
export class ResultReleaser {
	/** `mayCall` tells whether the target at an address may be called; its results expire otherwise. `onHeldBack` is called with the address of a target that asks for no calls. */
	static create(options: ResultReleaserOptions): ResultReleaser {
		return new ResultReleaser(options);
	}

	readonly #pending = new Map<string, string[]>();
	#cancel: CancelTimer | undefined;

	private constructor(private readonly options: ResultReleaserOptions) {}

	/** Queues results for release. */
	free(handles: readonly string[]): void {
		for (const handle of handles) {
			const producer = this.options.port.producerOf(handle);
			const pending = this.#pending.get(producer);
			if (pending) {
				pending.push(handle);
			} else {
				this.#pending.set(producer, [handle]);
			}
		}

		this.#cancel ??= this.options.clock.after(batchDelayMs, () => {
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
		const {port, logger, mayCall, onFreed, onHeldBack} = this.options;
		try {
			if (!mayCall(producer)) {
				logger.info('Left results to expire at a target that must not be called.', {maker: producer, results: handles.length});
				return;
			}

			await port.free(producer, handles);
			for (const handle of handles) {
				onFreed(handle);
			}
		} catch (err) {
			if (err instanceof HeldBackError) {
				onHeldBack?.(producer, err.retryAfterMs);
			}

			logger.warn('Cannot free results; they expire after their TTL.', {maker: producer, results: handles.length, error: errorMessage(err)});
		}
	}
}
