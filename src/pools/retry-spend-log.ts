import type {Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';
import type {RetrySpend} from './service-retry-budget.js';

/** What is retried: a request at another target, or a piece in a pool. */
export type RetryCause = 'attempt' | 'piece';

/** Minimum interval between lines about the same service, cause and result. */
const lineIntervalMs: Ms = 1000;

/** Retries that were granted or denied by a budget. */
export interface RetryRecord {
	readonly service: string;
	readonly cause: RetryCause;
	readonly isGranted: boolean;
	readonly count: number;
}

/** Options of a {@link RetrySpendLog}. */
export interface RetrySpendLogOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Number of entry VMs that share the slack; `undefined` while it is not known. */
	readonly entryVms: () => number | undefined;
	/** Called with every record, whether it is logged or not. */
	readonly onRetries: (retries: RetryRecord) => void;
}

/**
 * Logs what the retry budgets grant and deny, with what they held: at most one line a second for each service, cause and
 * result, which counts the retries since the line before.
 *
 * @example
 * log.record('archive', 'piece', spend);
 */
export class RetrySpendLog {
	static create(options: RetrySpendLogOptions): RetrySpendLog {
		return new RetrySpendLog(options);
	}

	/** Time of the latest line, and the retries since then, by service, cause and result. */
	readonly #lines = new Map<string, {atMs: Ms; unlogged: number}>();

	private constructor(private readonly options: RetrySpendLogOptions) {}

	/** Records an attempt to spend retries. */
	record(service: string, cause: RetryCause, {isGranted, count, requests, retries, allowed, slack}: RetrySpend): void {
		const {clock, logger, entryVms, onRetries} = this.options;
		onRetries({
			service, cause, isGranted, count,
		});
		const key = `${service} ${cause} ${isGranted}`;
		const line = this.#lines.get(key) ?? {atMs: -Infinity, unlogged: 0};
		this.#lines.set(key, line);
		line.unlogged += count;
		const now = clock.now();
		if (now - line.atMs < lineIntervalMs) {
			return;
		}

		logger.info(isGranted ? 'Spent retries.' : 'Denied retries.', {
			service, cause, count, since_last_line: line.unlogged, requests, retries, allowed: round(allowed), slack: round(slack), entry_vms: entryVms(),
		});
		line.atMs = now;
		line.unlogged = 0;
	}
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
