import type {Ms} from '../clock/index.js';

/** State of a VM in the platform's list. */
export type VmState = 'live' | 'leaving';

/** One VM of the platform's list. `startId` differs for each start at the same address. */
export interface Vm {
	readonly id: string;
	readonly zone: string;
	readonly role: 'entry' | 'target';
	readonly address: string;
	readonly startId: string;
	readonly state: VmState;
}

/** The platform's list of VMs; it lags behind the truth by an unknown time. */
export interface VmSnapshot {
	readonly asOfMs: Ms;
	readonly vms: readonly Vm[];
}

/** Port to the platform's list of live and leaving VMs. */
export interface VmList {
	list(): Promise<VmSnapshot>;
}
