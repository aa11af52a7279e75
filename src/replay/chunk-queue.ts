import type {Chunk} from '../targets/index.js';

type PendingRead = {resolve: (chunks: readonly Chunk[] | undefined) => void; reject: (err: Error) => void};

/** Queue of chunk batches from a simulated engine to a single reader. @internal */
export class ChunkQueue {
	readonly #batches: Array<readonly Chunk[]> = [];
	#pendingRead: PendingRead | undefined;
	#error: Error | undefined;

	push(chunks: readonly Chunk[]): void {
		if (this.#pendingRead) {
			this.#pendingRead.resolve(chunks);
			this.#pendingRead = undefined;
		} else {
			this.#batches.push(chunks);
		}
	}

	fail(err: Error): void {
		this.#error ??= err;
		this.#pendingRead?.reject(this.#error);
		this.#pendingRead = undefined;
	}

	/** Returns the next batch. After `fail`, rejects once the batches pushed before it have been read. */
	async next(): Promise<readonly Chunk[]> {
		const batch = this.#batches.shift();
		if (batch) {
			return batch;
		}

		if (this.#error) {
			throw this.#error;
		}

		return new Promise((resolve, reject) => {
			this.#pendingRead = {resolve: resolve as PendingRead['resolve'], reject};
		});
	}
}
