import type {Clock, Ms} from '../clock/index.js';
import type {TargetLoad} from '../targets/index.js';

type Sample = {at: Ms; inFlight: number; queued: number};

const keptSamples = 4096;

/** Load of a fake target over time, so that reports can lag. @internal */
export class LoadHistory {
	readonly #samples: Sample[] = [];

	constructor(private readonly clock: Clock, private readonly slots: number) {}

	add(inFlight: number, queued: number): void {
		this.#samples.push({at: this.clock.now(), inFlight, queued});
		if (this.#samples.length > keptSamples * 2) {
			this.#samples.splice(0, keptSamples);
		}
	}

	/** The report as of `lagMs` ago. */
	report(lagMs: Ms): TargetLoad {
		const until = this.clock.now() - lagMs;
		let index = this.#samples.length - 1;
		while (index >= 0 && this.#samples[index]!.at > until) {
			index--;
		}

		const sample = this.#samples[index];
		return {
			inFlight: sample?.inFlight ?? 0, queued: sample?.queued ?? 0, slots: this.slots, ageMs: lagMs,
		};
	}
}
