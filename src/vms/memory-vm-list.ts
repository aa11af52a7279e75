import type {Clock, Ms} from '../clock/index.js';
import type {Vm, VmList, VmSnapshot} from './vm-list.js';

/**
 * In-memory VM list in which each change becomes visible after a lag.
 *
 * @example
 * const list = MemoryVmList.create({clock, lagMs: 5000});
 * list.put({id: 'vm-1', zone: 'riga-a', role: 'entry', address: '127.0.0.1:7001', startId: 's1', state: 'live'});
 */
export class MemoryVmList implements VmList {
	static create(options: {clock: Clock; lagMs?: Ms}): MemoryVmList {
		return new MemoryVmList(options.clock, options.lagMs ?? 0);
	}

	readonly #vms = new Map<string, Vm>();

	private constructor(private readonly clock: Clock, private readonly lagMs: Ms) {}

	/** Adds or replaces a VM; visible after the lag. */
	put(vm: Vm): void {
		this.#applyAfterLag(() => {
			this.#vms.set(vm.id, vm);
		});
	}

	/** Removes a VM; the removal is visible after the lag. */
	remove(id: string): void {
		this.#applyAfterLag(() => {
			this.#vms.delete(id);
		});
	}

	async list(): Promise<VmSnapshot> {
		return {asOfMs: this.clock.wall() - this.lagMs, vms: [...this.#vms.values()]};
	}

	#applyAfterLag(change: () => void): void {
		if (this.lagMs === 0) {
			change();
			return;
		}

		this.clock.after(this.lagMs, change);
	}
}
