import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logs/index.js';
import type {VmList, VmSnapshot} from '../vms/index.js';
import type {DeclaredTargets} from './declared-targets.js';

/** Interval of the few that tell the others over the links, and of an entry VM without links. */
const eagerIntervalMs: Ms = 1000;
/** Interval of the others: the list grows with the fleet, and so would the bytes of everyone reading it each second. */
const idleIntervalMs: Ms = 15_000;

/** Parts of a watcher. `isEager` is false where others of the zone read the list and spread its news. */
export interface VmWatcherOptions {
	readonly clock: Clock;
	readonly vmList: VmList;
	readonly targets: DeclaredTargets;
	readonly logger: PartLogger;
	readonly isEager?: () => boolean;
}

/**
 * Reads the platform's VM list and marks leaving targets as draining. The list lags, so a target that is missing from
 * it is left to probes.
 *
 * @example
 * const watcher = VmWatcher.create({clock, vmList, targets, logger});
 * watcher.start();
 */
export class VmWatcher {
	static create(parts: VmWatcherOptions): VmWatcher {
		return new VmWatcher(parts);
	}

	readonly #stopped = new AbortController();
	#last: VmSnapshot | undefined;
	#lastAt: Ms | undefined;
	#reachable = true;
	/** When the present reachability began. */
	#changedAt: Ms;

	private constructor(private readonly parts: VmWatcherOptions) {
		this.#changedAt = parts.clock.now();
	}

	/** The last list that was read; `undefined` before the first. */
	get last(): VmSnapshot | undefined {
		return this.#last;
	}

	/** True while the last read succeeded. */
	get reachable(): boolean {
		return this.#reachable;
	}

	/** Time by which reads are further apart here than at those that tell the others, in ms. */
	get extraIntervalMs(): Ms {
		return this.parts.isEager?.() === false ? idleIntervalMs - eagerIntervalMs : 0;
	}

	/** Time for which the list has been reachable, or unreachable, in ms. */
	get sinceMs(): Ms {
		return this.parts.clock.now() - this.#changedAt;
	}

	/** Time since the last answer, in ms; `undefined` before the first. */
	get ageMs(): Ms | undefined {
		return this.#lastAt === undefined ? undefined : this.parts.clock.now() - this.#lastAt;
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
				this.#last = await this.parts.vmList.list();
				this.#apply(this.#last);
				this.#lastAt = this.parts.clock.now();
				this.#setReachable(true);
			} catch (err) {
				if (this.#reachable) {
					this.parts.logger.warn('Cannot read the VM list. The last one stays in use.', {error: errorMessage(err)});
				}

				this.#setReachable(false);
			}

			await this.#waitForTurn();
		}
	}

	/** A watcher that becomes eager reads at once. */
	async #waitForTurn(): Promise<void> {
		const {clock, isEager} = this.parts;
		const startedAt = clock.now();
		do {
			await clock.sleep(eagerIntervalMs, this.#stopped.signal);
		} while (!this.#stopped.signal.aborted && isEager?.() === false && clock.now() - startedAt < idleIntervalMs);
	}

	#setReachable(reachable: boolean): void {
		if (reachable !== this.#reachable) {
			this.#reachable = reachable;
			this.#changedAt = this.parts.clock.now();
		}
	}

	#apply(snapshot: VmSnapshot): void {
		const leaving = new Map(snapshot.vms.filter(vm => vm.role === 'target' && vm.state === 'leaving').map(vm => [vm.address, vm]));
		for (const target of this.parts.targets.all()) {
			const vm = leaving.get(new URL(target.declaration.address).host);
			if (vm) {
				this.parts.targets.markDraining(target.name, vm.startId, 'VM list');
			}
		}
	}
}
