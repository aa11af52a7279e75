import type {Clock, Ms} from '../clock/index.js';
import type {Pool, TargetDeclaration} from '../config/index.js';
import {standInOutput} from '../stand-ins/index.js';
import type {ServiceCall, ServiceReply, TargetLoad} from '../targets/index.js';
import {FakeFaults} from './active-faults.js';
import {LoadHistory} from './load-history.js';
import type {RunLedger} from './execution-recorder.js';

/** A call at a fake service. @internal */
export type ServiceJob = {
	readonly call: ServiceCall;
	readonly reply: (reply: ServiceReply) => void;
};

/** Options of a fake service. @internal */
export type FakeServiceOptions = {
	readonly clock: Clock;
	readonly declaration: TargetDeclaration;
	readonly pool: Pool;
	readonly ledger: RunLedger;
};

const minTimeFactor = 0.7;
const timeFactorRange = 0.6;

/** Plain service in virtual time: bounded slots, priorities, look-up by key. @internal */
export class FakeService {
	readonly faults = new FakeFaults();
	starts = 1;
	readonly #waiting: ServiceJob[] = [];
	readonly #byKey = new Map<string, ServiceReply>();
	readonly #loads: LoadHistory;
	#running = 0;

	constructor(private readonly options: FakeServiceOptions) {
		this.#loads = new LoadHistory(options.clock, options.declaration.slots);
	}

	get startId(): string {
		return `${this.options.declaration.name}#${this.starts}`;
	}

	arrive(job: ServiceJob): void {
		this.#waiting.push(job);
		this.fill();
	}

	/** Drops a waiting call whose connection closed; a running one goes on. */
	drop(job: ServiceJob): void {
		const index = this.#waiting.indexOf(job);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
		}
	}

	die(): void {
		this.#waiting.length = 0;
		this.#running = 0;
		this.starts++;
	}

	/** A service has no streams to stop; calls in progress run on. */
	freeze(): void {
		this.#loads.add(this.#running, this.#waiting.length);
	}

	fill(): void {
		while (this.#running < this.options.declaration.slots && this.#waiting.length > 0 && !this.faults.isStuck && !this.faults.isDead) {
			const preferred = this.#waiting.findIndex(job => job.call.shareClass === 'within');
			const [job] = this.#waiting.splice(Math.max(0, preferred), 1);
			this.#start(job!);
		}

		this.#loads.add(this.#running, this.#waiting.length);
	}

	load(): TargetLoad {
		return this.#loads.report(this.faults.loadLagMs);
	}

	lookup(key: string): ServiceReply | undefined {
		return this.#byKey.get(key);
	}

	#start(job: ServiceJob): void {
		const {clock, pool, ledger, declaration} = this.options;
		const {call} = job;
		const start = this.starts;
		this.#running++;
		ledger.onStart(call.requestId, call.stage);
		ledger.ran({
			requestId: call.requestId, stage: call.stage, team: call.team, isIdempotent: call.idempotent, ...(call.idempotencyKey === undefined ? {} : {key: call.idempotencyKey}),
		});
		const serviceMs = (pool.service_ms * timeFactor(call)) + this.faults.slowMs;
		clock.after(serviceMs, () => {
			if (start !== this.starts) {
				return;
			}

			this.#running--;
			ledger.busy(call.stage, serviceMs, pool.cost_per_second / 1000 / declaration.slots);
			const reply: ServiceReply = {
				requestId: call.requestId, stage: call.stage, attempt: call.attempt, output: standInOutput(call.kind, call.input),
			};
			if (call.idempotencyKey !== undefined) {
				this.#byKey.set(call.idempotencyKey, reply);
			}

			if (!this.faults.isStuck) {
				job.reply(reply);
			}

			this.fill();
		});
	}
}

/** The same for a request's stage under every policy, so that rows are comparable. */
function timeFactor(call: ServiceCall): Ms {
	let hash = 0;
	for (const character of `${call.requestId} ${call.stage}`) {
		hash = ((hash * 31) + character.codePointAt(0)!) >>> 0;
	}

	return minTimeFactor + (timeFactorRange * (hash % 1000) / 1000);
}
