import type {Clock, Ms} from '../clock/index.js';
import type {ConfigView, Model} from '../config/index.js';
import {errorMessage} from '../errors/index.js';
import type {EventRecorder} from '../events/index.js';
import type {PartLogger} from '../logging/index.js';
import type {EngineState, Target, TargetRegistry} from '../targets/index.js';
import type {LeaseService} from './lease-service.js';
import type {WeightBudget} from './weight-budget.js';

/** Time between two passes over all engines. */
const defaultReconcileIntervalMs: Ms = 1000;

/** Options of an engine reconciler. */
export interface EngineReconcilerOptions {
	readonly clock: Clock;
	readonly config: ConfigView;
	readonly targets: TargetRegistry;
	readonly lease: Pick<LeaseService, 'fencing' | 'remainingMs'>;
	readonly budget: WeightBudget;
	readonly events: EventRecorder;
	readonly logger: PartLogger;
	readonly intervalMs?: Ms;
	/** Maximum duration of an order; none is started when the remaining time of the lease is shorter. */
	readonly longestOrderMs: Ms;
}

/**
 * Reconciles the state of the engines with the declared models: reads the actual state of each engine, and sends an order
 * with the complete desired state where the two differ. Engines that ignore fencing tokens may accept a late order of an
 * earlier lease holder; the next pass corrects it.
 *
 * @example
 * const reconciler = EngineReconciler.create({clock, config, targets, lease, budget, events, logger, longestOrderMs: 5000});
 * reconciler.start();
 */
export class EngineReconciler {
	static create(options: EngineReconcilerOptions): EngineReconciler {
		return new EngineReconciler(options);
	}

	readonly #stopped = new AbortController();

	private constructor(private readonly options: EngineReconcilerOptions) {}

	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#stopped.abort();
	}

	/** Reconciles every engine once. */
	async reconcileAll(): Promise<void> {
		for (const model of this.options.config.current().declarations.models()) {
			await this.#reconcilePool(model);
		}
	}

	async #run(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			if (this.#canStartOrder()) {
				await this.reconcileAll();
			}

			await this.options.clock.sleep(this.options.intervalMs ?? defaultReconcileIntervalMs, this.#stopped.signal);
		}
	}

	#canStartOrder(): boolean {
		return this.options.lease.remainingMs() >= this.options.longestOrderMs;
	}

	/** Reconciles one engine of the pool at a time, so that the others keep serving. */
	async #reconcilePool(model: Model): Promise<void> {
		const desired: EngineState = {
			model: model.name, version: model.version, adapters: model.adapters, role: 'both',
		};
		for (const target of this.options.targets.pool(model.pool)) {
			try {
				await this.#reconcileEngine(target, desired, model.weight_gb);
			} catch (err) {
				this.#recordEvent('order_settled', target, `failed: ${errorMessage(err)}`);
			}
		}
	}

	async #reconcileEngine(target: Target, desired: EngineState, weightGb: number): Promise<void> {
		if (!target.engine || target.state === 'gone' || !this.#canStartOrder()) {
			return;
		}

		const actual = await target.engine.state();
		if (isSameState(actual, desired)) {
			return;
		}

		const isLoad = actual.model !== desired.model || actual.version !== desired.version;
		if (isLoad && !this.options.budget.take(weightGb)) {
			return;
		}

		// The lease is checked again just before sending. If the process is paused after this check and the order is late,
		// the next holder corrects its effect.
		const {fencing} = this.options.lease;
		if (fencing === undefined || !this.#canStartOrder()) {
			return;
		}

		this.#recordEvent('order_sent', target, `fencing ${fencing}, ${desired.model} ${desired.version}`);
		const result = await target.engine.order({fencing, state: desired});
		this.#recordEvent('order_settled', target, result);
		this.options.logger.info('Sent an order to an engine.', {target: target.name, result, version: desired.version});
	}

	#recordEvent(kind: 'order_sent' | 'order_settled', target: Target, detail: string): void {
		this.options.events.record({kind, target: target.name, detail});
	}
}

function isSameState(a: EngineState, b: EngineState): boolean {
	return a.model === b.model && a.version === b.version && a.role === b.role
		&& a.adapters.length === b.adapters.length && a.adapters.every((adapter, index) => adapter === b.adapters[index]);
}
