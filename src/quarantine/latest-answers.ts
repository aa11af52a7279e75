import type {Ms} from '../clock/index.js';

/**
 * Times of the latest answers to requests with a part, for the parts that were answered last.
 *
 * @example
 * answers.record('a', 1000);
 */
export class LatestAnswers {
	/** Remembers at most `maxParts` parts. */
	static create(maxParts: number): LatestAnswers {
		return new LatestAnswers(maxParts);
	}

	/** Least recent first. */
	readonly #answeredMs = new Map<string, Ms>();

	private constructor(private readonly maxParts: number) {}

	get(part: string): Ms | undefined {
		return this.#answeredMs.get(part);
	}

	record(part: string, answeredMs: Ms): void {
		const latestMs = Math.max(answeredMs, this.#answeredMs.get(part) ?? -Infinity);
		this.#answeredMs.delete(part);
		this.#answeredMs.set(part, latestMs);
		if (this.#answeredMs.size > this.maxParts) {
			this.#answeredMs.delete(this.#answeredMs.keys().next().value!);
		}
	}
}
