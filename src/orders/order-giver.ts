import type {Clock, Ms} from '../clock/index.js';
import type {ConfigView, Model} from '../config/index.js';
import {errorMessage} from '../errors/index.js';
import type {EventRecorder} from '../events/index.js';
import type {PartLogger} from '../logs/index.js';
import type {EngineState, Target, TargetRegistry} from '../targets/index.js';
import type {LeaseService} from './lease-service.js';
import type {WeightBudget} from './weight-budget.js';

/** Time between two comparisons of every engine's state with the desired one. */
const defaultIntervalMs: Ms = 1000;

/** Ports and limits of an order giver. */
export interface OrderGiverOptions {
	readonly clock: Clock;
	readonly config: ConfigView;
	readonly targets: TargetRegistry;
	readonly lease: Pick<LeaseService, 'fencing' | 'remainingMs'>;
	readonly budget: WeightBudget;
	readonly events: EventRecorder;
	readonly logger: PartLogger;
	readonly intervalMs?: Ms;
	/** An order is only begun when the lease lasts at least this long. */
	readonly longestOrderMs: Ms;
}

/**
 * Brings engines to the declared models: reads each engine's state back and sends the absolute desired state where it
 * differs. Repeating this makes a late order of an earlier holder harmless at engines that ignore fencing numbers.
 *
 * @example
 * const giver = OrderGiver.create({clock, config, targets, lease, budget, events, logger, longestOrderMs: 5000});
 * giver.start();
 */
export class OrderGiver {
	static create(options: OrderGiverOptions): OrderGiver {
		return new OrderGiver(options);
	}

	readonly #stopped = new AbortController();

	private constructor(private readonly options: OrderGiverOptions) {}

	start(): void {
		void this.#loop();
	}

	stop(): void {
		this.#stopped.abort();
	}

	/** Compares every engine once and sends the orders that are due. */
	async assertAll(): Promise<void> {
		for (const model of this.options.config.current().declarations.models()) {
			await this.#assertPool(model);
		}
	}

	async #loop(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			if (this.#mayOrder()) {
				await this.assertAll();
			}

			await this.options.clock.sleep(this.options.intervalMs ?? defaultIntervalMs, this.#stopped.signal);
		}
	}

	#mayOrder(): boolean {
		return this.options.lease.remainingMs() >= this.options.longestOrderMs;
	}

	/** One engine of a pool at a time, so that the others keep serving. */
	async #assertPool(model: Model): Promise<void> {
		const desired: EngineState = {
			model: model.name, version: model.version, adapters: model.adapters, role: 'both',
		};
		for (const target of this.options.targets.pool(model.pool)) {
			try {
				await this.#assertEngine(target, desired, model.weight_gb);
			} catch (err) {
				this.#record('order_settled', target, `failed: ${errorMessage(err)}`);
			}
		}
	}

	async #assertEngine(target: Target, desired: EngineState, weightGb: number): Promise<void> {
		if (!target.engine || target.state === 'gone' || !this.#mayOrder()) {
			return;
		}

		const present = await target.engine.state();
		if (isSame(present, desired)) {
			return;
		}

		const isLoad = present.model !== desired.model || present.version !== desired.version;
		if (isLoad && !this.options.budget.take(weightGb)) {
			return;
		}

		// The lease is looked at again right before the send; what a pause after this line lets through is corrected by the next holder.
		const {fencing} = this.options.lease;
		if (fencing === undefined || !this.#mayOrder()) {
			return;
		}

		this.#record('order_sent', target, `fencing ${fencing}, ${desired.model} ${desired.version}`);
		const result = await target.engine.order({fencing, state: desired});
		this.#record('order_settled', target, result);
		this.options.logger.info('Gave an order.', {target: target.name, result, version: desired.version});
	}

	#record(kind: 'order_sent' | 'order_settled', target: Target, detail: string): void {
		this.options.events.record({kind, target: target.name, detail});
	}
}

function isSame(a: EngineState, b: EngineState): boolean {
	return a.model === b.model && a.version === b.version && a.role === b.role
		&& a.adapters.length === b.adapters.length && a.adapters.every((adapter, index) => adapter === b.adapters[index]);
}
