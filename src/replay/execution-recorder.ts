import type {Ms} from '../clock/index.js';
import type {PromptSegment} from '../targets/index.js';
import type {SimulatedNetwork} from './simulated-network.js';

/** A call that a simulated target received. @internal */
export type ReceivedCall = {
	readonly requestId: string;
	readonly stage: string;
	readonly team: string;
	readonly isIdempotent: boolean;
	readonly key?: string;
};

/** Totals of one stage over all targets. @internal */
export type StageTotals = {busyMs: Ms; busyCost: number; bytes: number; crossRegionBytes: number; bytesCost: number};

/** Records what the simulated targets received and executed. The report checks the results of the entry VMs against it. @internal */
export class ExecutionRecorder {
	/** Calls that reached a target, by request ID. */
	readonly receivedCalls = new Map<string, ReceivedCall[]>();
	/** Number of executions of each non-idempotent call, by stage and idempotency key, or request ID when there is no key. */
	readonly nonIdempotentRuns = new Map<string, number>();
	readonly stages = new Map<string, StageTotals>();
	/** Prompts in the order in which engines started to process them. */
	readonly prompts: Array<{pool: string; prompt: readonly PromptSegment[]}> = [];
	promptTokens = 0;
	/** Called when a target starts to execute a call, after its wait in the queue of the target. */
	onStart: (requestId: string, stage: string) => void = () => undefined;
	prefilledTokens = 0;

	recordArrival(call: ReceivedCall): void {
		const calls = this.receivedCalls.get(call.requestId) ?? [];
		calls.push(call);
		this.receivedCalls.set(call.requestId, calls);
	}

	recordRun(call: ReceivedCall): void {
		if (!call.isIdempotent) {
			const id = `${call.key ?? call.requestId} ${call.stage}`;
			this.nonIdempotentRuns.set(id, (this.nonIdempotentRuns.get(id) ?? 0) + 1);
		}
	}

	recordBusyTime(stage: string, busyMs: Ms, costPerMs: number): void {
		const totals = this.stageTotals(stage);
		totals.busyMs += busyMs;
		totals.busyCost += busyMs * costPerMs;
	}

	recordTransfer(stage: string, bytes: number, path: {network: SimulatedNetwork; fromZone: string; toZone: string}): void {
		const totals = this.stageTotals(stage);
		totals.bytes += bytes;
		if (path.network.region(path.fromZone) !== path.network.region(path.toZone)) {
			totals.crossRegionBytes += bytes;
			totals.bytesCost += bytes * path.network.costPerByte(path.fromZone, path.toZone);
		}
	}

	stageTotals(name: string): StageTotals {
		let totals = this.stages.get(name);
		if (!totals) {
			totals = {
				busyMs: 0, busyCost: 0, bytes: 0, crossRegionBytes: 0, bytesCost: 0,
			};
			this.stages.set(name, totals);
		}

		return totals;
	}
}
