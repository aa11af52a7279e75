import type {ConfigView, Pool, TargetDeclaration} from '../config/index.js';
import type {EventRecorder} from '../events/index.js';
import type {EnginePort, TargetHealth, TargetLoad} from './engine-port.js';
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

/** One declared target with its present state. @internal */
class DeclaredTarget implements Target {
	engine: EnginePort | undefined;
	service: ServicePort | undefined;
	state: TargetState = 'unknown';
	startId: string | undefined;
	inFlight = 0;
	load: TargetLoad | undefined;

	constructor(readonly declaration: TargetDeclaration, readonly pool: Pool, readonly region: string) {}

	get name(): string {
		return this.declaration.name;
	}

	get zone(): string {
		return this.declaration.zone;
	}

	get dispatchable(): boolean {
		return this.state === 'unknown' || this.state === 'healthy';
	}
}

/**
 * Registry of the targets that the configuration declares.
 *
 * @example
 * const targets = DeclaredTargets.create({config, events, ports: httpPortFactory});
 * targets.pool('engraving');
 */
export class DeclaredTargets implements TargetRegistry {
	/** `onDraining` is told each target that is found draining, from whatever source. */
	static create(options: {config: ConfigView; events: EventRecorder; ports: PortFactory; onDraining?: (name: string, startId: string) => void}): DeclaredTargets {
		const targets = new DeclaredTargets(options.config, options.events, options.ports, options.onDraining);
		targets.#rebuild();
		options.config.onChange(() => {
			targets.#rebuild();
		});
		return targets;
	}

	#byName = new Map<string, DeclaredTarget>();
	#byPool = new Map<string, DeclaredTarget[]>();

	private constructor(private readonly config: ConfigView, private readonly events: EventRecorder, private readonly ports: PortFactory, private readonly onDraining?: (name: string, startId: string) => void) {}

	pool(name: string): readonly Target[] {
		return this.#byPool.get(name) ?? [];
	}

	get(name: string): Target | undefined {
		return this.#byName.get(name);
	}

	/** Every target, for probes and status. */
	all(): readonly Target[] {
		return [...this.#byName.values()];
	}

	markDraining(name: string, startId: string, source: string): void {
		const target = this.#byName.get(name);
		if (!target || target.state === 'draining' || (target.startId !== undefined && target.startId !== startId)) {
			return;
		}

		target.startId = startId;
		target.state = 'draining';
		this.events.record({kind: 'target_draining', target: name, detail: `${startId} by ${source}`});
		this.onDraining?.(name, startId);
	}

	callStarted(name: string): void {
		const target = this.#byName.get(name);
		if (target) {
			target.inFlight++;
		}
	}

	callEnded(name: string): void {
		const target = this.#byName.get(name);
		if (target) {
			target.inFlight--;
		}
	}

	#rebuild(): void {
		const {declarations} = this.config.current();
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

		this.#byName = byName;
		this.#byPool = byPool;
	}

	#keep(declaration: TargetDeclaration, pool: Pool, region: string): DeclaredTarget {
		const old = this.#byName.get(declaration.name);
		if (old && JSON.stringify([old.declaration, old.pool, old.region]) === JSON.stringify([declaration, pool, region])) {
			return old;
		}

		const target = new DeclaredTarget(declaration, pool, region);
		const onHealth = (health: TargetHealth | undefined) => {
			this.#applyHealth(target, health);
		};

		if (pool.type === 'engine') {
			target.engine = this.ports.engine(declaration, onHealth);
		} else {
			target.service = this.ports.service(declaration, onHealth);
		}

		return target;
	}

	#applyHealth(target: DeclaredTarget, health: TargetHealth | undefined): void {
		if (!health) {
			return;
		}

		if (target.startId !== health.startId) {
			// Another start at the same address is a new target: what was known of the old one is void.
			target.startId = health.startId;
			target.state = 'healthy';
		}

		if (health.draining) {
			this.markDraining(target.name, health.startId, 'health');
		}
	}
}
