import type {Clock} from '../clock/index.js';
import type {ConfigView, Pool, TargetDeclaration} from '../config/index.js';
import type {EventRecorder} from '../events/index.js';
import {DeclaredTarget} from './declared-target.js';
import type {EnginePort, TargetHealth} from './engine-port.js';
import {HttpEngine} from './http-engine.js';
import {HttpService} from './http-service.js';
import type {ServicePort} from './service-port.js';
import type {Target, TargetRegistry, TargetState} from './target.js';

/** Creates the port of a target; tests substitute fakes. */
export interface PortFactory {
	engine(declaration: TargetDeclaration, onHealth: (health: TargetHealth | undefined) => void): EnginePort;
	service(declaration: TargetDeclaration, onHealth: (health: TargetHealth | undefined) => void): ServicePort;
}

/** Creates ports over HTTP, with one connection per slot and two for control calls. */
export const httpPortFactory: PortFactory = {
	engine: (declaration, onHealth) => HttpEngine.create(declaration.address, {connections: declaration.slots + 2, onHealth}),
	service: (declaration, onHealth) => HttpService.create(declaration.address, {connections: declaration.slots + 2, onHealth}),
};

/** Called when a target starts draining, with its name and start id. */
export type TargetDrainingListener = (target: string, startId: string) => void;

/**
 * Registry of the targets that the configuration declares.
 *
 * @example
 * const targets = DeclaredTargets.create({config, events, clock, ports: httpPortFactory});
 * targets.pool('engraving');
 */
export class DeclaredTargets implements TargetRegistry {
	/** Creates a registry that follows the configuration. */
	static create(options: {config: ConfigView; events: EventRecorder; clock: Clock; ports: PortFactory}): DeclaredTargets {
		const targets = new DeclaredTargets(options);
		targets.#applyConfig();
		options.config.onChange(() => {
			targets.#applyConfig();
		});
		return targets;
	}

	#byName = new Map<string, DeclaredTarget>();
	#byPool = new Map<string, DeclaredTarget[]>();
	readonly #changeListeners = new Set<(pool: string) => void>();
	readonly #drainingListeners = new Set<TargetDrainingListener>();

	private constructor(private readonly options: {config: ConfigView; events: EventRecorder; clock: Clock; ports: PortFactory}) {}

	pool(name: string): readonly Target[] {
		return this.#byPool.get(name) ?? [];
	}

	get(name: string): DeclaredTarget | undefined {
		return this.#byName.get(name);
	}

	/** Returns all declared targets, for probes and status. */
	all(): readonly DeclaredTarget[] {
		return [...this.#byName.values()];
	}

	/** Calls `listener` when a target is first known to be draining, once per start id. */
	onDraining(listener: TargetDrainingListener): void {
		this.#drainingListeners.add(listener);
	}

	onChange(listener: (pool: string) => void): void {
		this.#changeListeners.add(listener);
	}

	markDraining(name: string, startId: string, source: string): void {
		const target = this.#byName.get(name);
		if (target) {
			this.#notifyIfDraining(target, () => {
				target.markDraining(startId, source);
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

	#applyConfig(): void {
		const {declarations} = this.options.config.current();
		const byName = new Map<string, DeclaredTarget>();
		const byPool = new Map<string, DeclaredTarget[]>();
		for (const declaration of declarations.targets()) {
			const pool = declarations.pool(declaration.pool);
			const region = declarations.zone(declaration.zone)?.region;
			if (!pool || region === undefined) {
				continue;
			}

			const target = this.#reuseOrCreate(declaration, pool, region);
			byName.set(target.name, target);
			byPool.set(pool.name, [...byPool.get(pool.name) ?? [], target]);
		}

		for (const [name, previous] of this.#byName) {
			if (byName.get(name) !== previous) {
				previous.applyEvent('REMOVED', 'no longer declared');
			}
		}

		this.#byName = byName;
		this.#byPool = byPool;
		for (const pool of byPool.keys()) {
			this.#notifyChange(pool);
		}
	}

	#notifyChange(pool: string): void {
		for (const listener of this.#changeListeners) {
			listener(pool);
		}
	}

	/** Returns the existing target when neither its declaration, pool nor region changed; otherwise creates a new one. */
	#reuseOrCreate(declaration: TargetDeclaration, pool: Pool, region: string): DeclaredTarget {
		const existing = this.#byName.get(declaration.name);
		if (existing && JSON.stringify([existing.declaration, existing.pool, existing.region]) === JSON.stringify([declaration, pool, region])) {
			return existing;
		}

		const target = new DeclaredTarget(declaration, pool, region, {
			...this.options,
			onStateChange: () => {
				this.#notifyChange(pool.name);
			},
		});
		const onHealth = (health: TargetHealth | undefined) => {
			if (health) {
				this.#notifyIfDraining(target, () => {
					target.updateHealth(health);
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

	/** Runs an update of a target and calls the draining listeners if it made the target drain. */
	#notifyIfDraining(target: DeclaredTarget, update: () => void): void {
		const previousState = target.state;
		update();
		const newState: TargetState = target.state;
		if (previousState !== newState && newState === 'draining' && target.startId !== undefined) {
			for (const listener of this.#drainingListeners) {
				listener(target.name, target.startId);
			}
		}
	}
}
