import type {Clock, Ms} from '../clock/index.js';
import type {TargetLoad} from '../targets/index.js';

type Sample = {at: Ms; inFlight: number; queued: number};

const retainedSamples = 4096;

/** Load samples of a simulated target, kept so that stale load can be reported. @internal */
export class LoadHistory {
	readonly #samples: Sample[] = [];

	constructor(private readonly clock: Clock, private readonly slots: number) {}

	add(inFlight: number, queued: number): void {
		this.#samples.push({at: this.clock.now(), inFlight, queued});
		if (this.#samples.length > retainedSamples * 2) {
			this.#samples.splice(0, retainedSamples);
		}
	}

	/** Returns the load as it was `lagMs` ago. */
	loadAt(lagMs: Ms): TargetLoad {
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
