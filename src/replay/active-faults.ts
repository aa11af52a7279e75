import type {Ms} from '../clock/index.js';
import type {TraceFault} from './trace.js';

/** Faults that are active at one simulated target. @internal */
export class ActiveFaults {
	addedLatencyMs: Ms = 0;
	isStuck = false;
	isFailing = false;
	isDraining = false;
	isDead = false;
	loadLagMs: Ms = 0;
	cacheEventLossRate = 0;
	cacheEventLagMs: Ms = 0;

	/** Activates or clears a fault. `half_open` has no state here: it affects only the connections open when it starts. */
	setActive(fault: TraceFault, isActive: boolean): void {
		const value = isActive ? fault.value : 0;
		switch (fault.fault) {
			case 'slow': {
				this.addedLatencyMs = value;
				break;
			}

			case 'stuck': {
				this.isStuck = isActive;
				break;
			}

			case 'fail': {
				this.isFailing = isActive;
				break;
			}

			case 'draining': {
				this.isDraining = isActive;
				break;
			}

			case 'dead': {
				this.isDead = isActive;
				break;
			}

			case 'load_lag': {
				this.loadLagMs = value;
				break;
			}

			case 'cache_event_gaps': {
				this.cacheEventLossRate = value;
				break;
			}

			case 'cache_event_lag': {
				this.cacheEventLagMs = value;
				break;
			}

			default: {
				break;
			}
		}
	}
}
