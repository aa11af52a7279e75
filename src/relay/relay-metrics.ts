import {Counter, Histogram, Registry} from 'prom-client';
import type {Ms} from '../clock/index.js';

const secondsBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2.5, 4, 6, 10, 20];

/**
 * Counters and latency histograms of relayed requests.
 *
 * @example
 * metrics.ended({route: 'orders', outcome: 'answered', status: 200, tookMs: 31});
 */
export class RelayMetrics {
	static create(): RelayMetrics {
		return new RelayMetrics();
	}

	readonly registry = new Registry();
	readonly #requests = new Counter({
		name: 'guavamill_relay_requests_total', help: 'Relayed requests by outcome and reason.', labelNames: ['outcome', 'reason'], registers: [this.registry],
	});

	readonly #attempts = new Counter({
		name: 'guavamill_relay_attempts_total', help: 'Attempts at targets by end.', labelNames: ['end'], registers: [this.registry],
	});

	readonly #firstByte = new Histogram({
		name: 'guavamill_relay_first_byte_seconds', help: 'Time from arrival to the first byte of a target\'s answer.', buckets: secondsBuckets, registers: [this.registry],
	});

	readonly #duration = new Histogram({
		name: 'guavamill_relay_request_seconds', help: 'Time from arrival to the end, by outcome.', labelNames: ['outcome'], buckets: secondsBuckets, registers: [this.registry],
	});

	readonly #stages = new Histogram({
		name: 'guavamill_relay_stages_seconds', help: 'Time that the stages of a request took.', buckets: secondsBuckets, registers: [this.registry],
	});

	private constructor() {}

	ended(request: {outcome: string; reason: string; tookMs: Ms; firstByteMs: Ms | undefined}): void {
		this.#requests.inc({outcome: request.outcome, reason: request.reason});
		this.#duration.observe({outcome: request.outcome}, request.tookMs / 1000);
		if (request.firstByteMs !== undefined) {
			this.#firstByte.observe(request.firstByteMs / 1000);
		}
	}

	attempt(end: string): void {
		this.#attempts.inc({end});
	}

	staged(tookMs: Ms): void {
		this.#stages.observe(tookMs / 1000);
	}
}
