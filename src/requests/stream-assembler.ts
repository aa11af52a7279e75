import {TargetError, type Chunk} from '../targets/index.js';

/** Identity of the attempt whose chunks are awaited. */
export interface AttemptId {
	readonly requestId: string;
	readonly stage: string;
	readonly attempt: number;
}

/**
 * Puts the chunks of a stage together over several attempts: each index is taken exactly once and in order.
 *
 * @example
 * const assembler = StreamAssembler.create();
 * const fresh = assembler.accept({requestId, stage, attempt: 1}, chunk);
 */
export class StreamAssembler {
	static create(): StreamAssembler {
		return new StreamAssembler();
	}

	readonly #texts: string[] = [];
	#done = false;

	private constructor() {}

	/** Index of the next chunk. */
	get nextIndex(): number {
		return this.#texts.length;
	}

	/** True after the last chunk. */
	get done(): boolean {
		return this.#done;
	}

	get text(): string {
		return this.#texts.join('');
	}

	/**
	 * Takes a chunk of the present attempt; returns true when it is new and false when it repeats one.
	 * Throws `TargetError` when the chunk belongs to another attempt or skips an index.
	 */
	accept(id: AttemptId, chunk: Chunk): boolean {
		if (chunk.requestId !== id.requestId || chunk.stage !== id.stage || chunk.attempt !== id.attempt) {
			throw TargetError.create('mismatch', `Cannot accept a chunk: it answers ${chunk.requestId}/${chunk.stage}/${chunk.attempt}, not ${id.requestId}/${id.stage}/${id.attempt}`);
		}

		if (chunk.index < this.#texts.length || this.#done) {
			return false;
		}

		if (chunk.index > this.#texts.length) {
			throw TargetError.create('mismatch', `Cannot accept a chunk: index ${chunk.index} follows ${this.#texts.length - 1}`);
		}

		this.#texts.push(chunk.text);
		this.#done = chunk.done;
		return true;
	}
}
