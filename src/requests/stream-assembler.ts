import {TargetError, type Chunk} from '../targets/index.js';

/** Identifies the attempt whose chunks are expected. */
export interface AttemptId {
	readonly requestId: string;
	readonly stage: string;
	readonly attempt: number;
}

/**
 * Assembles the chunks of a stage over several attempts, accepting each index exactly once and in order.
 *
 * @example
 * const assembler = StreamAssembler.create();
 * const isNew = assembler.accept({requestId, stage, attempt: 1}, chunk);
 */
export class StreamAssembler {
	static create(): StreamAssembler {
		return new StreamAssembler();
	}

	readonly #texts: string[] = [];
	#done = false;

	private constructor() {}

	/** Index of the next expected chunk. */
	get nextIndex(): number {
		return this.#texts.length;
	}

	/** Whether the last chunk was accepted. */
	get done(): boolean {
		return this.#done;
	}

	/** Text of all accepted chunks. */
	get text(): string {
		return this.#texts.join('');
	}

	/**
	 * Accepts a chunk of the current attempt. Returns true when the chunk is new and false when it is a duplicate.
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
