import type {Clock, Ms} from '../clock/index.js';
import type {Pool, TargetDeclaration} from '../config/index.js';
import {standInOutput} from '../stand-ins/index.js';
import type {ServiceCall, ServiceReply, TargetLoad} from '../targets/index.js';
import {ActiveFaults} from './active-faults.js';
import {LoadHistory} from './load-history.js';
import type {ExecutionRecorder} from './execution-recorder.js';

/** A call at a simulated service. @internal */
export type ServiceJob = {
	readonly call: ServiceCall;
	readonly reply: (reply: ServiceReply) => void;
};

/** Options of a simulated service. @internal */
export type SimulatedServiceOptions = {
	readonly clock: Clock;
	readonly declaration: TargetDeclaration;
	readonly pool: Pool;
	readonly executions: ExecutionRecorder;
};

const minServiceTimeFactor = 0.7;
const serviceTimeFactorRange = 0.6;

/** Simulated service with prioritised slots and result lookup by idempotency key. @internal */
export class SimulatedService {
	readonly faults = new ActiveFaults();
	startCount = 1;
	readonly #queue: ServiceJob[] = [];
	readonly #repliesByKey = new Map<string, ServiceReply>();
	readonly #loadHistory: LoadHistory;
	#running = 0;

	constructor(private readonly options: SimulatedServiceOptions) {
		this.#loadHistory = new LoadHistory(options.clock, options.declaration.slots);
	}

	get startId(): string {
		return `${this.options.declaration.name}#${this.startCount}`;
	}

	submit(job: ServiceJob): void {
		this.#queue.push(job);
		this.startQueued();
	}

	/** Removes a queued call whose connection has closed. A running call continues. */
	cancel(job: ServiceJob): void {
		const index = this.#queue.indexOf(job);
		if (index !== -1) {
			this.#queue.splice(index, 1);
		}
	}

	/** Discards all calls and takes a new start ID, as when the process exits. Replies stay available for lookup by key. */
	reset(): void {
		this.#queue.length = 0;
		this.#running = 0;
		this.startCount++;
	}

	/** Running calls continue, as a service has no streams to stop; their replies are withheld while the service is stuck. */
	freeze(): void {
		this.#loadHistory.add(this.#running, this.#queue.length);
	}

	/** Starts queued calls in free slots, preferring calls within their team's share. */
	startQueued(): void {
		while (this.#running < this.options.declaration.slots && this.#queue.length > 0 && !this.faults.isStuck && !this.faults.isDead) {
			const preferred = this.#queue.findIndex(job => job.call.shareClass === 'within');
			const [job] = this.#queue.splice(Math.max(0, preferred), 1);
			this.#start(job!);
		}

		this.#loadHistory.add(this.#running, this.#queue.length);
	}

	load(): TargetLoad {
		return this.#loadHistory.loadAt(this.faults.loadLagMs);
	}

	lookup(key: string): ServiceReply | undefined {
		return this.#repliesByKey.get(key);
	}

	#start(job: ServiceJob): void {
		const {clock, pool, executions, declaration} = this.options;
		const {call} = job;
		const start = this.startCount;
		this.#running++;
		executions.onStart(call.requestId, call.stage);
		executions.recordRun({
			requestId: call.requestId, stage: call.stage, team: call.team, isIdempotent: call.idempotent, ...(call.idempotencyKey === undefined ? {} : {key: call.idempotencyKey}),
		});
		const serviceMs = (pool.service_ms * serviceTimeFactor(call)) + this.faults.addedLatencyMs;
		clock.after(serviceMs, () => {
			if (start !== this.startCount) {
				return;
			}

			this.#running--;
			executions.recordBusyTime(call.stage, serviceMs, pool.cost_per_second / 1000 / declaration.slots);
			const reply: ServiceReply = {
				requestId: call.requestId, stage: call.stage, attempt: call.attempt, output: standInOutput(call.kind, call.input),
			};
			if (call.idempotencyKey !== undefined) {
				this.#repliesByKey.set(call.idempotencyKey, reply);
			}

			if (!this.faults.isStuck) {
				job.reply(reply);
			}

			this.startQueued();
		});
	}
}

/** Returns a factor that depends only on request and stage, so that results are comparable across policies. */
function serviceTimeFactor(call: ServiceCall): Ms {
	let hash = 0;
	for (const character of `${call.requestId} ${call.stage}`) {
		hash = ((hash * 31) + character.codePointAt(0)!) >>> 0;
	}

	return minServiceTimeFactor + (serviceTimeFactorRange * (hash % 1000) / 1000);
}
