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
	readonly asOfMs: Ms;
	readonly vms: readonly Vm[];
}

/** Interface to the platform's list of live and leaving VMs. */
export interface VmList {
	list(): Promise<VmSnapshot>;
}
