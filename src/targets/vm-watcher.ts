import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logs/index.js';
import type {VmList, VmSnapshot} from '../platform/index.js';
import type {DeclaredTargets} from './declared-targets.js';

const intervalMs: Ms = 1000;

/**
 * Reads the platform's VM list and marks leaving targets as draining. The list lags, so a target that is missing from
 * it is left to probes.
 *
 * @example
 * const watcher = VmWatcher.create({clock, vmList, targets, logger});
 * watcher.start();
 */
export class VmWatcher {
	static create(parts: {clock: Clock; vmList: VmList; targets: DeclaredTargets; logger: PartLogger}): VmWatcher {
		return new VmWatcher(parts);
	}

	readonly #stopped = new AbortController();
	#last: VmSnapshot | undefined;
	#lastAt: Ms | undefined;
	#reachable = true;
	/** When the present reachability began. */
	#changedAt: Ms;

	private constructor(private readonly parts: {clock: Clock; vmList: VmList; targets: DeclaredTargets; logger: PartLogger}) {
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

			await this.parts.clock.sleep(intervalMs, this.#stopped.signal);
		}
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
