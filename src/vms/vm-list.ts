import type {Ms} from '../clock/index.js';

/** State of a VM in the platform's list. */
export type VmState = 'live' | 'leaving';

/** A VM of the platform's list. Each start at the same address has a different `startId`. */
export interface Vm {
	readonly id: string;
	readonly zone: string;
	readonly role: 'entry' | 'target';
	readonly address: string;
	readonly startId: string;
	readonly state: VmState;
}

/** The platform's list of VMs, which lags behind their actual state by an unknown time. */
export interface VmSnapshot {
	/** Wall-clock time at which the list was current. */
	readonly asOfMs: Ms;
	readonly vms: readonly Vm[];
}

/** Source of the list of live and leaving VMs: the platform, or the records that entry VMs write about themselves. */
export interface VmList {
	list(): Promise<VmSnapshot>;
}
