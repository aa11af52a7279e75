import type {Ms} from '../clock/index.js';
import type {TraceFault} from './trace.js';

/** Faults in force at one fake target. @internal */
export class FakeFaults {
	slowMs: Ms = 0;
	isStuck = false;
	isFailing = false;
	isDraining = false;
	isDead = false;
	loadLagMs: Ms = 0;
	eventGaps = 0;
	eventLagMs: Ms = 0;

	/** Puts a fault in force, or ends it. `half_open` is an event of the open connections, not a state. */
	set(fault: TraceFault, isOn: boolean): void {
		const value = isOn ? fault.value : 0;
		switch (fault.fault) {
			case 'slow': {
				this.slowMs = value;
				break;
			}

			case 'stuck': {
				this.isStuck = isOn;
				break;
			}

			case 'fail': {
				this.isFailing = isOn;
				break;
			}

			case 'draining': {
				this.isDraining = isOn;
				break;
			}

			case 'dead': {
				this.isDead = isOn;
				break;
			}

			case 'load_lag': {
				this.loadLagMs = value;
				break;
			}

			case 'cache_event_gaps': {
				this.eventGaps = value;
				break;
			}

			case 'cache_event_lag': {
				this.eventLagMs = value;
				break;
			}

			default: {
				break;
			}
		}
	}
}
