import type {Ms} from '../clock/index.js';

/** Measures the time to first token and the inter-token latency of one stream. @internal */
export class TokenLatencyRecorder {
	firstTokenMs: Ms | undefined;
	readonly interTokenMs: Ms[] = [];
	#lastAt = 0;

	constructor(private readonly startedAt: Ms) {}

	/** Records a batch of `count` tokens that arrived at `now`. */
	add(count: number, now: Ms): void {
		if (this.firstTokenMs === undefined) {
			this.firstTokenMs = now - this.startedAt;
		} else {
			this.interTokenMs.push((now - this.#lastAt) / count);
		}

		this.#lastAt = now;
	}
}
