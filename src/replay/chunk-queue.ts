import type {Chunk} from '../targets/index.js';

type Waiter = {resolve: (chunks: readonly Chunk[] | undefined) => void; reject: (err: Error) => void};

/** Hands batches of chunks from a fake engine to its reader. @internal */
export class ChunkQueue {
	readonly #batches: Array<readonly Chunk[]> = [];
	#waiter: Waiter | undefined;
	#error: Error | undefined;

	push(chunks: readonly Chunk[]): void {
		if (this.#waiter) {
			this.#waiter.resolve(chunks);
			this.#waiter = undefined;
		} else {
			this.#batches.push(chunks);
		}
	}

	fail(err: Error): void {
		this.#error ??= err;
		this.#waiter?.reject(this.#error);
		this.#waiter = undefined;
	}

	/** The next batch; rejects after `fail`, once the batches before it are read. */
	async next(): Promise<readonly Chunk[]> {
		const batch = this.#batches.shift();
		if (batch) {
			return batch;
		}

		if (this.#error) {
			throw this.#error;
		}

		return new Promise((resolve, reject) => {
			this.#waiter = {resolve: resolve as Waiter['resolve'], reject};
		});
	}
}
