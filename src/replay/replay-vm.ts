import type {ClaimService} from '../claims/index.js';
import type {Clock, Ms} from '../clock/index.js';
import type {ConfigView} from '../config/index.js';
import type {EventRecorder} from '../events/index.js';
import {Random} from '../random/index.js';
import {CacheEventPoller} from '../routing/index.js';
import {RequestRunner} from '../requests/index.js';
import {DeclaredTargets, TargetProber} from '../targets/index.js';
import type {ZoneDigest, ZoneView} from '../teams/index.js';
import type {EntryVmPlace} from './deployment.js';
import type {FakeFleet} from './simulated-fleet.js';
import {fakePorts} from './simulated-ports.js';
import type {ReplayPolicy, ReplayScheduler} from './replay-policy.js';

/** Options of an entry VM of a replay. @internal */
export type ReplayVmOptions = {
	readonly place: EntryVmPlace;
	readonly clock: Clock;
	readonly config: ConfigView;
	readonly fleet: FakeFleet;
	readonly claims: ClaimService;
	readonly events: EventRecorder;
	readonly policy: ReplayPolicy;
	readonly random: Random;
};

const digestMs: Ms = 1000;
const digestLifeMs: Ms = 3 * digestMs;

type Received = {at: Ms; digest: ZoneDigest};

/** The decision modules of one entry VM over the fake fleet, with its probes and digests. @internal */
export class ReplayVm implements ZoneView {
	readonly targets: DeclaredTargets;
	readonly runner: RequestRunner;
	readonly #policy: ReplayScheduler;
	readonly #received = new Map<string, Received>();
	readonly #prober: TargetProber;
	/** Corrects the prefix index, as in the daemon. */
	readonly #poller: CacheEventPoller | undefined;
	#sequence = 0;

	constructor(private readonly options: ReplayVmOptions) {
		const {
			clock, config, fleet, place, events,
		} = options;
		this.targets = DeclaredTargets.create({
			config, events, clock, ports: fakePorts(fleet, place.zone),
		});
		this.#policy = options.policy.create({
			clock, config, targets: this.targets, process: place.name, zone: place.zone, zoneView: this, random: options.random,
		});
		this.#prober = TargetProber.create({
			clock,
			random: Random.create(options.random.integer(1, 1_000_000_000)),
			targets: this.targets,
		});
		const {index} = this.#policy;
		this.#poller = index && CacheEventPoller.create({
			clock, index, engines: () => this.targets.all().filter(target => target.zone === place.zone && target.dispatchable),
		});
		this.runner = RequestRunner.create({
			clock, config, scheduler: this.#policy.scheduler, claims: options.claims, events,
		});
	}

	get place(): EntryVmPlace {
		return this.options.place;
	}

	peerDigests(): readonly ZoneDigest[] {
		const oldest = this.options.clock.now() - digestLifeMs;
		return [...this.#received.values()].filter(entry => entry.at >= oldest).map(entry => entry.digest);
	}

	receive(digest: ZoneDigest): void {
		this.#received.set(digest.process, {at: this.options.clock.now(), digest});
		for (const {target, startId} of digest.draining) {
			this.targets.markDraining(target, startId, digest.process);
		}
	}

	/** Probes targets and exchanges digests until `untilMs`. */
	start(peers: readonly ReplayVm[], untilMs: Ms): void {
		const {clock, random} = this.options;
		const repeat = (every: Ms, act: () => void) => {
			const next = () => {
				act();
				if (clock.now() + every < untilMs) {
					clock.after(every, next);
				}
			};

			clock.after(random.float() * every, next);
		};

		this.#prober.start();
		this.#poller?.start();
		clock.after(untilMs - clock.now(), () => {
			this.#prober.stop();
			this.#poller?.stop();
		});
		repeat(digestMs, () => {
			const digest = this.#digest();
			for (const peer of peers) {
				peer.receive(digest);
			}
		});
	}

	#digest(): ZoneDigest {
		const all = this.targets.all();
		return {
			process: this.place.name,
			incarnation: `${this.place.name}-1`,
			sequence: this.#sequence++,
			work: this.#policy.work?.() ?? [],
			inFlight: all.filter(target => target.inFlight > 0).map(target => ({target: target.name, calls: target.inFlight})),
			draining: all.filter(target => target.state === 'draining').map(target => ({target: target.name, startId: target.startId!})),
			configOffset: 0,
		};
	}
}
