import type {Clock} from '../clock/index.js';
import type {ConfigView, Pool, TargetDeclaration} from '../config/index.js';
import type {EventRecorder} from '../events/index.js';
import {DeclaredTarget} from './declared-target.js';
import type {EnginePort, TargetHealth} from './engine-port.js';
import {HttpEngine} from './http-engine.js';
import {HttpService} from './http-service.js';
import type {ServicePort} from './service-port.js';
import type {Target, TargetRegistry, TargetState} from './target.js';

/** Creates the ports of a target; tests put fakes in their place. */
export interface PortFactory {
	engine(declaration: TargetDeclaration, onHealth: (health: TargetHealth | undefined) => void): EnginePort;
	service(declaration: TargetDeclaration, onHealth: (health: TargetHealth | undefined) => void): ServicePort;
}

/** Ports over HTTP. One connection per slot, and two for control calls. */
export const httpPortFactory: PortFactory = {
	engine: (declaration, onHealth) => HttpEngine.create(declaration.address, {connections: declaration.slots + 2, onHealth}),
	service: (declaration, onHealth) => HttpService.create(declaration.address, {connections: declaration.slots + 2, onHealth}),
};

/** Told that a target drains, with the start id that drains. */
export type DrainingListener = (target: string, startId: string) => void;

/**
 * Registry of the targets that the configuration declares.
 *
 * @example
 * const targets = DeclaredTargets.create({config, events, clock, ports: httpPortFactory});
 * targets.pool('engraving');
 */
export class DeclaredTargets implements TargetRegistry {
	static create(options: {config: ConfigView; events: EventRecorder; clock: Clock; ports: PortFactory}): DeclaredTargets {
		const targets = new DeclaredTargets(options);
		targets.#rebuild();
		options.config.onChange(() => {
			targets.#rebuild();
		});
		return targets;
	}

	#byName = new Map<string, DeclaredTarget>();
	#byPool = new Map<string, DeclaredTarget[]>();
	readonly #changeListeners = new Set<(pool: string) => void>();
	readonly #drainingListeners = new Set<DrainingListener>();

	private constructor(private readonly options: {config: ConfigView; events: EventRecorder; clock: Clock; ports: PortFactory}) {}

	pool(name: string): readonly Target[] {
		return this.#byPool.get(name) ?? [];
	}

	get(name: string): DeclaredTarget | undefined {
		return this.#byName.get(name);
	}

	/** Every target, for probes and status. */
	all(): readonly DeclaredTarget[] {
		return [...this.#byName.values()];
	}

	/** Calls `listener` once for each start that is first known to drain. */
	onDraining(listener: DrainingListener): void {
		this.#drainingListeners.add(listener);
	}

	onChange(listener: (pool: string) => void): void {
		this.#changeListeners.add(listener);
	}

	markDraining(name: string, startId: string, source: string): void {
		const target = this.#byName.get(name);
		if (target) {
			this.#watchDraining(target, () => {
				target.drain(startId, source);
			});
		}
	}

	callStarted(name: string): void {
		const target = this.#byName.get(name);
		if (target) {
			target.inFlight++;
		}
	}

	callEnded(name: string, result: 'ok' | 'failed' | 'lost' | 'cancelled'): void {
		this.#byName.get(name)?.callEnded(result);
	}

	#rebuild(): void {
		const {declarations} = this.options.config.current();
		const byName = new Map<string, DeclaredTarget>();
		const byPool = new Map<string, DeclaredTarget[]>();
		for (const declaration of declarations.targets()) {
			const pool = declarations.pool(declaration.pool);
			const region = declarations.zone(declaration.zone)?.region;
			if (!pool || region === undefined) {
				continue;
			}

			const target = this.#keep(declaration, pool, region);
			byName.set(target.name, target);
			byPool.set(pool.name, [...byPool.get(pool.name) ?? [], target]);
		}

		for (const [name, old] of this.#byName) {
			if (byName.get(name) !== old) {
				old.send('REMOVED', 'not declared any more');
			}
		}

		this.#byName = byName;
		this.#byPool = byPool;
		for (const pool of byPool.keys()) {
			this.#notify(pool);
		}
	}

	#notify(pool: string): void {
		for (const listener of this.#changeListeners) {
			listener(pool);
		}
	}

	#keep(declaration: TargetDeclaration, pool: Pool, region: string): DeclaredTarget {
		const old = this.#byName.get(declaration.name);
		if (old && JSON.stringify([old.declaration, old.pool, old.region]) === JSON.stringify([declaration, pool, region])) {
			return old;
		}

		const target = new DeclaredTarget(declaration, pool, region, {
			...this.options,
			onState: () => {
				this.#notify(pool.name);
			},
		});
		const onHealth = (health: TargetHealth | undefined) => {
			if (health) {
				this.#watchDraining(target, () => {
					target.contact(health);
				});
			}
		};

		if (pool.type === 'engine') {
			target.engine = this.options.ports.engine(declaration, onHealth);
		} else {
			target.service = this.options.ports.service(declaration, onHealth);
		}

		return target;
	}

	#watchDraining(target: DeclaredTarget, change: () => void): void {
		const before = target.state;
		change();
		const after: TargetState = target.state;
		if (before !== after && after === 'draining' && target.startId !== undefined) {
			for (const listener of this.#drainingListeners) {
				listener(target.name, target.startId);
			}
		}
	}
}
