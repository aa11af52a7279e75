import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {addGauge} from '../metrics/index.js';
import type {Ms} from '../clock/index.js';
import type {ClaimStats} from '../claims/index.js';
import {isRejection, type RequestResult} from '../requests/index.js';

/** Metric names, for documentation and tests. */
export const metricNames = [
	'guavamill_requests_total',
	'guavamill_request_seconds',
	'guavamill_requests_in_flight',
	'guavamill_config_revision',
	'guavamill_targets',
	'guavamill_events_total',
	'guavamill_claims_held',
	'guavamill_claim_answer_bytes',
	'guavamill_claim_appends_total',
	'guavamill_claims_won_total',
	'guavamill_claims_lost_total',
	'guavamill_claims_log_age_seconds',
] as const;

/** Functions that are called for current values each time the metrics are collected. */
export interface MetricSources {
	readonly inFlight: () => number;
	readonly revision: () => number;
	readonly targets: () => Record<string, number>;
	readonly events: () => number;
	readonly claims: () => ClaimStats;
}

/**
 * Metrics of an entry VM (prom-client).
 *
 * @internal
 */
export class Metrics {
	static create(sources: MetricSources): Metrics {
		return new Metrics(sources);
	}

	readonly registry = new Registry();
	readonly #requests = new Counter({
		name: 'guavamill_requests_total', help: 'Requests by pipeline, team, outcome and reason.', labelNames: ['pipeline', 'team', 'outcome', 'reason'], registers: [this.registry],
	});

	readonly #durationSeconds = new Histogram({
		name: 'guavamill_request_seconds', help: 'Time from arrival to the end, in seconds.', labelNames: ['pipeline', 'outcome'], buckets: [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 9, 20], registers: [this.registry],
	});

	private constructor(sources: MetricSources) {
		const gauge = (name: string, help: string, read: () => number) => {
			addGauge(this.registry, {name, help, read});
		};

		gauge('guavamill_requests_in_flight', 'Requests in progress.', sources.inFlight);
		gauge('guavamill_config_revision', 'Revision of the configuration in force.', sources.revision);
		gauge('guavamill_events_total', 'Events recorded on the time line.', sources.events);
		gauge('guavamill_claims_held', 'Keys of the log held in memory.', () => sources.claims().held);
		gauge('guavamill_claim_answer_bytes', 'Bytes of stored answers held in memory.', () => sources.claims().answerBytes);
		gauge('guavamill_claim_appends_total', 'Append calls for claims, releases and outcomes.', () => sources.claims().appends);
		gauge('guavamill_claims_won_total', 'Claims of this entry VM that won.', () => sources.claims().won);
		gauge('guavamill_claims_lost_total', 'Claims of this entry VM that lost or expired.', () => sources.claims().lost);
		gauge('guavamill_claims_log_age_seconds', 'Time since the claims were last read to their end.', () => sources.claims().ageMs / 1000);
		// eslint-disable-next-line no-new -- The registry holds the gauge.
		new Gauge({
			name: 'guavamill_targets',
			help: 'Targets by state.',
			labelNames: ['state'],
			registers: [this.registry],
			collect() {
				this.reset();
				for (const [state, count] of Object.entries(sources.targets())) {
					this.set({state}, count);
				}
			},
		});
	}

	/** Records one finished request. */
	observe(pipeline: string, team: string, result: RequestResult, tookMs: Ms): void {
		const reason = isRejection(result) ? result.reason : '';
		// Each undeclared name would create a time series of its own, so they share the empty label value.
		const isDeclared = reason !== 'unknown_pipeline' && reason !== 'bad_request';
		const labels = {pipeline: isDeclared ? pipeline : '', outcome: result.outcome};
		this.#requests.inc({...labels, team: isDeclared ? team : '', reason});
		this.#durationSeconds.observe(labels, tookMs / 1000);
	}
}
