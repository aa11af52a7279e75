import type {DeclarationSet} from '../../src/config/index.js';
import type {
	Target, TargetLoad, TargetRegistry, TargetState,
} from '../../src/targets/index.js';

/** Target whose state and load are set by a test. */
export type FakeTarget = {-readonly [key in keyof Target]: Target[key]} & {state: TargetState; load: TargetLoad | undefined};

/** Registry of declared targets without network clients; a target is dispatchable unless it is draining, suspect or gone. */
export class FakeTargets implements TargetRegistry {
	static create(declarations: DeclarationSet): FakeTargets {
		const registry = new FakeTargets();
		for (const declaration of declarations.targets()) {
			const target: FakeTarget = {
				name: declaration.name,
				zone: declaration.zone,
				region: declarations.zone(declaration.zone)!.region,
				pool: declarations.pool(declaration.pool)!,
				declaration,
				state: 'healthy',
				startId: 's1',
				inFlight: 0,
				load: undefined,
				get dispatchable() {
					return this.state === 'healthy' || this.state === 'unknown';
				},
				engine: undefined,
				service: undefined,
				suspectSignal: new AbortController().signal,
			};
			registry.byName.set(target.name, target);
			registry.byPool.set(declaration.pool, [...registry.byPool.get(declaration.pool) ?? [], target]);
		}

		return registry;
	}

	listeners = 0;
	readonly byName = new Map<string, FakeTarget>();
	readonly byPool = new Map<string, FakeTarget[]>();

	pool(name: string): readonly FakeTarget[] {
		return this.byPool.get(name) ?? [];
	}

	get(name: string): FakeTarget | undefined {
		return this.byName.get(name);
	}

	/** Counts listeners without calling them: state changes made by tests are not reported. */
	onChange(): void {
		this.listeners++;
	}

	markDraining(name: string): void {
		this.byName.get(name)!.state = 'draining';
	}

	callStarted(name: string): void {
		this.byName.get(name)!.inFlight++;
	}

	callEnded(name: string): void {
		this.byName.get(name)!.inFlight--;
	}
}
