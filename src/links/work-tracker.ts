import type {Ms} from '../clock/index.js';
import type {TargetRegistry} from '../targets/index.js';
import type {
	AdmissionDecision, Grant, RequestEstimate, Scheduler, StageWork, TeamWork,
} from '../teams/index.js';

type Row = {team: string; pool: string; inFlightMs: Ms; queuedMs: Ms};

/**
 * Wraps a scheduler and sums the estimated work of its queued and running attempts by team and pool, for digests.
 *
 * @example
 * const scheduler = WorkTracker.create({scheduler: FcfsScheduler.create({clock, targets}), targets});
 */
export class WorkTracker implements Scheduler {
	static create(options: {scheduler: Scheduler; targets: TargetRegistry}): WorkTracker {
		return new WorkTracker(options.scheduler, options.targets);
	}

	readonly #rows = new Map<string, Row>();

	private constructor(private readonly scheduler: Scheduler, private readonly targets: TargetRegistry) {}

	/** Work by team and pool; only teams with work. */
	work(): readonly TeamWork[] {
		return [...this.#rows.values()];
	}

	admit(estimate: RequestEstimate): AdmissionDecision {
		return this.scheduler.admit(estimate);
	}

	spendRetry(team: string, pool: string): boolean {
		return this.scheduler.spendRetry(team, pool);
	}

	async acquire(work: StageWork, signal: AbortSignal): Promise<Grant> {
		const estimateMs = this.#estimate(work);
		this.#add(work, 0, estimateMs);
		let grant: Grant;
		try {
			grant = await this.scheduler.acquire(work, signal);
		} finally {
			this.#add(work, 0, -estimateMs);
		}

		this.#add(work, estimateMs, 0);
		return {
			...grant,
			settle: result => {
				this.#add(work, -estimateMs, 0);
				grant.settle(result);
			},
		};
	}

	#estimate(work: StageWork): Ms {
		const pool = this.targets.pool(work.stage.pool)[0]?.pool;
		const serviceMs = work.stage.kind === 'generate' ? (pool?.decode_ms_per_token ?? 0) * work.maxTokens : pool?.service_ms ?? 0;
		return Math.max(1, Math.round(serviceMs));
	}

	#add(work: StageWork, inFlightMs: Ms, queuedMs: Ms): void {
		const key = `${work.team}\0${work.stage.pool}`;
		const row = this.#rows.get(key) ?? {
			team: work.team, pool: work.stage.pool, inFlightMs: 0, queuedMs: 0,
		};
		row.inFlightMs += inFlightMs;
		row.queuedMs += queuedMs;
		if (row.inFlightMs === 0 && row.queuedMs === 0) {
			this.#rows.delete(key);
		} else {
			this.#rows.set(key, row);
		}
	}
}
