import type {Clock} from '../clock/index.js';
import type {DeclarationSet} from '../config/index.js';
import {Random} from '../random/index.js';
import {TargetError} from '../targets/index.js';
import type {FakeConnection} from './simulated-connection.js';
import {FakeEngine} from './simulated-engine.js';
import {FakeNetwork} from './simulated-network.js';
import {FakeService} from './simulated-service.js';
import {RunLedger} from './execution-recorder.js';
import type {Trace, TraceFault} from './trace.js';

/** A call that an entry VM has open at a target. @internal */
export type OpenCall = {readonly connection: FakeConnection; readonly fail: (err: Error) => void};

/** One fake target with the calls open at it. @internal */
export type FakeTarget = {
	readonly name: string;
	readonly zone: string;
	readonly pool: string;
	readonly process: FakeEngine | FakeService;
	readonly open: Set<OpenCall>;
};

/** The fake targets, shared by all entry VMs, with the trace's faults on their times. @internal */
export class FakeFleet {
	static create(options: {clock: Clock; declarations: DeclarationSet; trace: Trace}): FakeFleet {
		const fleet = new FakeFleet(options.clock, options.declarations);
		const random = Random.create(options.trace.header.seed);
		for (const declaration of options.declarations.targets()) {
			const pool = options.declarations.pool(declaration.pool)!;
			const parts = {
				clock: options.clock, declaration, pool, ledger: fleet.ledger,
			};
			fleet.targets.set(declaration.name, {
				name: declaration.name,
				zone: declaration.zone,
				pool: pool.name,
				process: pool.type === 'engine'
					? new FakeEngine({...parts, cacheTokens: options.trace.header.cache_tokens, random: Random.create(random.integer(1, 1_000_000_000))})
					: new FakeService(parts),
				open: new Set(),
			});
		}

		for (const fault of options.trace.faults) {
			fleet.#schedule(fault);
		}

		return fleet;
	}

	readonly targets = new Map<string, FakeTarget>();
	readonly ledger = new RunLedger();
	readonly network: FakeNetwork;
	/** True while the platform's log is down. */
	isLogDown = false;

	private constructor(readonly clock: Clock, declarations: DeclarationSet) {
		this.network = FakeNetwork.create(clock, declarations);
	}

	#schedule(fault: TraceFault): void {
		this.clock.after(fault.at_ms - this.clock.now(), () => {
			this.#apply(fault, true);
		});
		this.clock.after(fault.until_ms - this.clock.now(), () => {
			this.#apply(fault, false);
		});
	}

	#apply(fault: TraceFault, isOn: boolean): void {
		if (fault.scope === 'platform') {
			this.isLogDown = isOn;
			return;
		}

		if (fault.fault === 'zone_cut') {
			this.network.setCut(fault.name, isOn);
			return;
		}

		for (const target of this.targets.values()) {
			if (fault.scope === 'all' || target[fault.scope === 'target' ? 'name' : fault.scope] === fault.name) {
				applyTo(target, fault, isOn);
			}
		}
	}
}

function applyTo(target: FakeTarget, fault: TraceFault, isOn: boolean): void {
	target.process.faults.set(fault, isOn);
	if (isOn && fault.fault === 'half_open') {
		for (const call of target.open) {
			call.connection.isSilent = true;
		}
	} else if (isOn && fault.fault === 'stuck') {
		target.process.freeze();
	} else if (isOn && fault.fault === 'dead') {
		target.process.die();
		for (const call of target.open) {
			call.fail(TargetError.create('lost', `Cannot read from ${target.name}: the connection was reset`));
		}
	} else if (!isOn && fault.fault === 'draining') {
		// The end of a drain is a new start at the same address.
		target.process.die();
	}

	target.process.fill();
}
