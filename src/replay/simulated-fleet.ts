import type {Clock} from '../clock/index.js';
import type {DeclarationSet} from '../config/index.js';
import {Random} from '../random/index.js';
import {TargetError} from '../targets/index.js';
import type {SimulatedConnection} from './simulated-connection.js';
import {SimulatedEngine} from './simulated-engine.js';
import {SimulatedNetwork} from './simulated-network.js';
import {SimulatedService} from './simulated-service.js';
import {ExecutionRecorder} from './execution-recorder.js';
import type {Trace, TraceFault} from './trace.js';

/** An open call from an entry VM to a target. @internal */
export type OpenCall = {readonly connection: SimulatedConnection; readonly fail: (err: Error) => void};

/** A simulated target and its open calls. @internal */
export type SimulatedTarget = {
	readonly name: string;
	readonly zone: string;
	readonly pool: string;
	readonly server: SimulatedEngine | SimulatedService;
	readonly openCalls: Set<OpenCall>;
};

/** The simulated targets that all entry VMs share. Activates and clears the faults of the trace at their times. @internal */
export class SimulatedFleet {
	static create(options: {clock: Clock; declarations: DeclarationSet; trace: Trace}): SimulatedFleet {
		const fleet = new SimulatedFleet(options.clock, options.declarations);
		const random = Random.create(options.trace.header.seed);
		for (const declaration of options.declarations.targets()) {
			const pool = options.declarations.pool(declaration.pool)!;
			const parts = {
				clock: options.clock, declaration, pool, executions: fleet.executions,
			};
			fleet.targets.set(declaration.name, {
				name: declaration.name,
				zone: declaration.zone,
				pool: pool.name,
				server: pool.type === 'engine'
					? new SimulatedEngine({...parts, cacheTokens: options.trace.header.cache_tokens, random: Random.create(random.integer(1, 1_000_000_000))})
					: new SimulatedService(parts),
				openCalls: new Set(),
			});
		}

		for (const fault of options.trace.faults) {
			fleet.#scheduleFault(fault);
		}

		return fleet;
	}

	readonly targets = new Map<string, SimulatedTarget>();
	readonly executions = new ExecutionRecorder();
	readonly network: SimulatedNetwork;
	/** True while the platform's log is unavailable. */
	isLogDown = false;

	private constructor(readonly clock: Clock, declarations: DeclarationSet) {
		this.network = SimulatedNetwork.create(clock, declarations);
	}

	#scheduleFault(fault: TraceFault): void {
		this.clock.after(fault.at_ms - this.clock.now(), () => {
			this.#setFaultActive(fault, true);
		});
		this.clock.after(fault.until_ms - this.clock.now(), () => {
			this.#setFaultActive(fault, false);
		});
	}

	#setFaultActive(fault: TraceFault, isActive: boolean): void {
		if (fault.scope === 'platform') {
			this.isLogDown = isActive;
			return;
		}

		if (fault.fault === 'zone_cut') {
			this.network.setIsolated(fault.name, isActive);
			return;
		}

		for (const target of this.targets.values()) {
			if (fault.scope === 'all' || target[fault.scope === 'target' ? 'name' : fault.scope] === fault.name) {
				setTargetFaultActive(target, fault, isActive);
			}
		}
	}
}

function setTargetFaultActive(target: SimulatedTarget, fault: TraceFault, isActive: boolean): void {
	target.server.faults.setActive(fault, isActive);
	if (isActive && fault.fault === 'half_open') {
		for (const call of target.openCalls) {
			call.connection.isHalfOpen = true;
		}
	} else if (isActive && fault.fault === 'stuck') {
		target.server.freeze();
	} else if (isActive && fault.fault === 'dead') {
		target.server.reset();
		for (const call of target.openCalls) {
			call.fail(TargetError.create('lost', `Cannot read from ${target.name}: the connection was reset`));
		}
	} else if (!isActive && fault.fault === 'draining') {
		// After a drain, the target restarts at the same address.
		target.server.reset();
	}

	target.server.startQueued();
}
