import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';
import type {VmList, VmSnapshot} from '../vms/index.js';
import type {DeclaredTargets} from './declared-targets.js';

/** Interval of an entry VM that forwards changes to others over the links, or that has no links. */
const frequentPollIntervalMs: Ms = 1000;
/** Interval of all other entry VMs. The list grows with the fleet, so reading it on each VM every second would use too much bandwidth. */
const infrequentPollIntervalMs: Ms = 15_000;

/** Options of a `VmWatcher`. */
export interface VmWatcherOptions {
	readonly clock: Clock;
	readonly vmList: VmList;
	readonly targets: DeclaredTargets;
	readonly logger: PartLogger;
	/** Returns false while other entry VMs of the zone poll the list and forward its changes; true by default. */
	readonly isFrequentPoller?: () => boolean;
}

/**
 * Polls the platform's VM list and marks leaving targets as draining. The list lags, so a target that is missing from
 * it is not changed; probes detect whether it is gone.
 *
 * @example
 * const watcher = VmWatcher.create({clock, vmList, targets, logger});
 * watcher.start();
 */
export class VmWatcher {
	/** Creates a watcher; call `start` to begin polling. */
	static create(options: VmWatcherOptions): VmWatcher {
		return new VmWatcher(options);
	}

	readonly #stopped = new AbortController();
	#lastSnapshot: VmSnapshot | undefined;
	#lastReadMs: Ms | undefined;
	#reachable = true;
	#reachabilityChangedMs: Ms;

	private constructor(private readonly options: VmWatcherOptions) {
		this.#reachabilityChangedMs = options.clock.now();
	}

	/** Snapshot from the last successful read; `undefined` before the first. */
	get lastSnapshot(): VmSnapshot | undefined {
		return this.#lastSnapshot;
	}

	/** True while the last read succeeded. */
	get reachable(): boolean {
		return this.#reachable;
	}

	/** Difference between this poll interval and the shortest one, in ms; `ageMs` may be larger by this amount. */
	get extraIntervalMs(): Ms {
		return this.options.isFrequentPoller?.() === false ? infrequentPollIntervalMs - frequentPollIntervalMs : 0;
	}

	/** Time since the list last became reachable or unreachable, in ms. */
	get sinceMs(): Ms {
		return this.options.clock.now() - this.#reachabilityChangedMs;
	}

	/** Time since the last successful read, in ms; `undefined` before the first. */
	get ageMs(): Ms | undefined {
		return this.#lastReadMs === undefined ? undefined : this.options.clock.now() - this.#lastReadMs;
	}

	start(): void {
		void this.#loop();
	}

	stop(): void {
		this.#stopped.abort();
	}

	async #loop(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			try {
				this.#lastSnapshot = await this.options.vmList.list();
				this.#markLeavingTargets(this.#lastSnapshot);
				this.#lastReadMs = this.options.clock.now();
				this.#setReachable(true);
			} catch (err) {
				if (this.#reachable) {
					this.options.logger.warn('Cannot read the VM list; using the last snapshot.', {error: errorMessage(err)});
				}

				this.#setReachable(false);
			}

			await this.#waitForNextPoll();
		}
	}

	/** Waits in short steps, so that a watcher that switches to the shorter interval polls at once. */
	async #waitForNextPoll(): Promise<void> {
		const {clock, isFrequentPoller} = this.options;
		const startedAt = clock.now();
		do {
			await clock.sleep(frequentPollIntervalMs, this.#stopped.signal);
		} while (!this.#stopped.signal.aborted && isFrequentPoller?.() === false && clock.now() - startedAt < infrequentPollIntervalMs);
	}

	#setReachable(reachable: boolean): void {
		if (reachable !== this.#reachable) {
			this.#reachable = reachable;
			this.#reachabilityChangedMs = this.options.clock.now();
		}
	}

	#markLeavingTargets(snapshot: VmSnapshot): void {
		const leaving = new Map(snapshot.vms.filter(vm => vm.role === 'target' && vm.state === 'leaving').map(vm => [vm.address, vm]));
		for (const target of this.options.targets.all()) {
			const vm = leaving.get(new URL(target.declaration.address).host);
			if (vm) {
				this.options.targets.markDraining(target.name, vm.startId, 'VM list');
			}
		}
	}
}
