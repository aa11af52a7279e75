import type {Ms} from '../clock/index.js';
import type {PromptSegment} from '../targets/index.js';
import type {FakeNetwork} from './simulated-network.js';

/** What the fakes saw of one call. @internal */
export type SeenCall = {
	readonly requestId: string;
	readonly stage: string;
	readonly team: string;
	readonly isIdempotent: boolean;
	readonly key?: string;
};

/** Sums of one stage over all targets. @internal */
export type StageSums = {busyMs: Ms; busyCost: number; bytes: number; crossRegionBytes: number; bytesCost: number};

/** What the fake targets ran; the report checks the entry VMs' claims against it. @internal */
export class RunLedger {
	/** Calls that arrived, by request. */
	readonly arrivals = new Map<string, SeenCall[]>();
	/** Runs of non-idempotent calls, by key, or by request where no key was given. */
	readonly bookings = new Map<string, number>();
	readonly stages = new Map<string, StageSums>();
	/** Prompts in the order in which engines started on them. */
	readonly prompts: Array<{pool: string; prompt: readonly PromptSegment[]}> = [];
	promptTokens = 0;
	/** Told when a target starts on a call, after its queue. */
	onStart: (requestId: string, stage: string) => void = () => undefined;
	prefilledTokens = 0;

	arrived(call: SeenCall): void {
		const calls = this.arrivals.get(call.requestId) ?? [];
		calls.push(call);
		this.arrivals.set(call.requestId, calls);
	}

	ran(call: SeenCall): void {
		if (!call.isIdempotent) {
			const id = `${call.key ?? call.requestId} ${call.stage}`;
			this.bookings.set(id, (this.bookings.get(id) ?? 0) + 1);
		}
	}

	busy(stage: string, busyMs: Ms, costPerMs: number): void {
		const sums = this.stage(stage);
		sums.busyMs += busyMs;
		sums.busyCost += busyMs * costPerMs;
	}

	transferred(stage: string, bytes: number, path: {network: FakeNetwork; fromZone: string; toZone: string}): void {
		const sums = this.stage(stage);
		sums.bytes += bytes;
		if (path.network.region(path.fromZone) !== path.network.region(path.toZone)) {
			sums.crossRegionBytes += bytes;
			sums.bytesCost += bytes * path.network.bytePrice(path.fromZone, path.toZone);
		}
	}

	stage(name: string): StageSums {
		let sums = this.stages.get(name);
		if (!sums) {
			sums = {
				busyMs: 0, busyCost: 0, bytes: 0, crossRegionBytes: 0, bytesCost: 0,
			};
			this.stages.set(name, sums);
		}

		return sums;
	}
}
