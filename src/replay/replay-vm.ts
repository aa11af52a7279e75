import type {ClaimService} from '../claims/index.js';
import type {Clock, Ms} from '../clock/index.js';
import type {ConfigView} from '../config/index.js';
import type {EventRecorder} from '../events/index.js';
import {Random} from '../random/index.js';
import {CacheEventPoller} from '../routing/index.js';
import {RequestRunner} from '../requests/index.js';
import {DeclaredTargets, TargetProber} from '../targets/index.js';
import type {ZoneDigest, ZoneView} from '../teams/index.js';
import type {EntryVmLocation} from './deployment.js';
import type {SimulatedFleet} from './simulated-fleet.js';
import {createSimulatedPorts} from './simulated-ports.js';
import type {ReplayPolicy, ReplayScheduler} from './replay-policy.js';

/** Options of an entry VM of a replay. @internal */
export type ReplayVmOptions = {
	readonly location: EntryVmLocation;
	readonly clock: Clock;
	readonly config: ConfigView;
	readonly fleet: SimulatedFleet;
	readonly claims: ClaimService;
	readonly events: EventRecorder;
	readonly policy: ReplayPolicy;
	readonly random: Random;
};

const digestIntervalMs: Ms = 1000;
const digestTtlMs: Ms = 3 * digestIntervalMs;

type ReceivedDigest = {at: Ms; digest: ZoneDigest};

/** Scheduling and request modules of one entry VM on simulated targets, with its probes and digests. @internal */
export class ReplayVm implements ZoneView {
	readonly targets: DeclaredTargets;
	readonly runner: RequestRunner;
	readonly #replayScheduler: ReplayScheduler;
	readonly #receivedDigests = new Map<string, ReceivedDigest>();
	readonly #targetProber: TargetProber;
	/** Updates the prefix index from cache events, as the entry VM process does. */
	readonly #cacheEventPoller: CacheEventPoller | undefined;
	#nextSequence = 0;

	constructor(private readonly options: ReplayVmOptions) {
		const {
			clock, config, fleet, location, events,
		} = options;
		this.targets = DeclaredTargets.create({
			config, events, clock, ports: createSimulatedPorts(fleet, location.zone),
		});
		this.#replayScheduler = options.policy.create({
			clock, config, targets: this.targets, process: location.name, zone: location.zone, zoneView: this, random: options.random,
		});
		this.#targetProber = TargetProber.create({
			clock,
			random: Random.create(options.random.integer(1, 1_000_000_000)),
			targets: this.targets,
		});
		const {prefixIndex} = this.#replayScheduler;
		this.#cacheEventPoller = prefixIndex && CacheEventPoller.create({
			clock, index: prefixIndex, engines: () => this.targets.all().filter(target => target.zone === location.zone && target.dispatchable),
		});
		this.runner = RequestRunner.create({
			clock, config, scheduler: this.#replayScheduler.scheduler, claims: options.claims, events,
		});
	}

	get location(): EntryVmLocation {
		return this.options.location;
	}

	peerDigests(): readonly ZoneDigest[] {
		const oldest = this.options.clock.now() - digestTtlMs;
		return [...this.#receivedDigests.values()].filter(entry => entry.at >= oldest).map(entry => entry.digest);
	}

	receiveDigest(digest: ZoneDigest): void {
		this.#receivedDigests.set(digest.process, {at: this.options.clock.now(), digest});
		for (const {target, startId} of digest.draining) {
			this.targets.markDraining(target, startId, digest.process);
		}
	}

	/** Probes targets and sends digests to `peers` until `untilMs`. */
	start(peers: readonly ReplayVm[], untilMs: Ms): void {
		const {clock, random} = this.options;
		const repeat = (intervalMs: Ms, action: () => void) => {
			const next = () => {
				action();
				if (clock.now() + intervalMs < untilMs) {
					clock.after(intervalMs, next);
				}
			};

			clock.after(random.float() * intervalMs, next);
		};

		this.#targetProber.start();
		this.#cacheEventPoller?.start();
		clock.after(untilMs - clock.now(), () => {
			this.#targetProber.stop();
			this.#cacheEventPoller?.stop();
		});
		repeat(digestIntervalMs, () => {
			const digest = this.#createDigest();
			for (const peer of peers) {
				peer.receiveDigest(digest);
			}
		});
	}

	#createDigest(): ZoneDigest {
		const all = this.targets.all();
		return {
			process: this.location.name,
			incarnation: `${this.location.name}-1`,
			sequence: this.#nextSequence++,
			work: this.#replayScheduler.localWork?.() ?? [],
			inFlight: all.filter(target => target.inFlight > 0).map(target => ({target: target.name, calls: target.inFlight})),
			draining: all.filter(target => target.state === 'draining').map(target => ({target: target.name, startId: target.startId!})),
			configOffset: 0,
		};
	}
}
