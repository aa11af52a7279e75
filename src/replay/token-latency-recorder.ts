import type {Ms} from '../clock/index.js';

/** Measures first token and gaps of one stream. @internal */
export class GapMeter {
	firstTokenMs: Ms | undefined;
	readonly gapsMs: Ms[] = [];
	#lastAt = 0;

	constructor(private readonly startedAt: Ms) {}

	/** Counts a batch of `count` tokens that arrived at `now`. */
	add(count: number, now: Ms): void {
		if (this.firstTokenMs === undefined) {
			this.firstTokenMs = now - this.startedAt;
		} else {
			this.gapsMs.push((now - this.#lastAt) / count);
		}

		this.#lastAt = now;
	}
}
