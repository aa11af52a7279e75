import type {TargetHealth, TargetHolds} from '../limits/index.js';
import type {Placement} from '../placement/index.js';
import type {StageTargetPort} from '../pools/index.js';
import type {ReachWatch} from '../reach/index.js';
import type {RelayTarget} from '../registry/index.js';
import type {ProbeResult, TargetLiveness} from '../relay/index.js';
import type {RelayVmOptions} from './relay-vm-options.js';

/** Options of {@link TargetProbes}. */
export interface TargetProbesOptions extends Pick<RelayVmOptions, 'checkHealth' | 'clock'> {
	readonly placement: Pick<Placement, 'isEvacuated' | 'exclusionOf'>;
	readonly holds: Pick<TargetHolds, 'isHeld' | 'observe'>;
	readonly liveness: Pick<TargetLiveness, 'begin'>;
	readonly reach: () => Pick<ReachWatch<RelayTarget>, 'recordReached' | 'recordFailed'>;
	/** Called with the result of each probe. */
	readonly onProbe: (target: RelayTarget, result: TargetHealth['result']) => void;
}

/**
 * Probes targets, and records for the watch of the reach whether they and the calls to stage targets respond. Nothing is
 * sent to targets of evacuated zones or those that have asked for no requests.
 *
 * @example
 * const result = await probes.probe(target);
 */
export class TargetProbes {
	static create(options: TargetProbesOptions): TargetProbes {
		return new TargetProbes(options);
	}

	private constructor(private readonly options: TargetProbesOptions) {}

	/** Probes a target. */
	async probe(target: RelayTarget): Promise<ProbeResult> {
		const {clock, liveness, reach, onProbe} = this.options;
		if (!this.mayAsk(target)) {
			return 'withheld';
		}

		const startedMs = clock.now();
		const recordReply = liveness.begin(target.entry.address);
		const {result} = await this.checkHealth(target);
		onProbe(target, result);
		if (result === 'alive') {
			recordReply();
			reach().recordReached(startedMs);
		} else {
			reach().recordFailed(target.id, 'connection');
		}

		return result;
	}

	/** Whether a target may be asked for its health. */
	mayAsk(target: RelayTarget): boolean {
		return !this.options.placement.isEvacuated(target.entry.zone) && !this.options.holds.isHeld(target);
	}

	/** Whether a target takes requests, so that its health is watched. */
	mayProbe(target: RelayTarget): boolean {
		return this.options.placement.exclusionOf(target) === undefined && !this.options.holds.isHeld(target);
	}

	/** Resolves with what the health path of a target says, or without a path another one; never rejects. */
	async checkHealth(target: RelayTarget, path?: string): Promise<TargetHealth> {
		const health = await this.options.checkHealth(target, path);
		this.options.holds.observe(target, health.retryAfterMs);
		return health;
	}

	/** Returns a port whose calls tell whether targets can be reached. */
	watchReach(port: StageTargetPort): StageTargetPort {
		const {reach} = this.options;
		return {
			async run(call) {
				const outcome = await port.run(call);
				if (outcome.kind === 'unreachable') {
					reach().recordFailed(call.target.id);
				} else {
					reach().recordReached();
				}

				return outcome;
			},
			free: async (producer, handles) => port.free(producer, handles),
			producerOf: handle => port.producerOf(handle),
		};
	}
}
