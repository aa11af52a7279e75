import type {Ms} from '../clock/index.js';
import {PlanForecast, type PoolTimes} from './plan-forecast.js';
import type {StagePlan} from './stage-plan.js';

/** Age from which the load of a host is not relied on. */
const maxLoadAgeMs: Ms = 1500;

/** Load of one stage service at a host. */
export interface ServiceLoad {
	readonly service: string;
	/** Expected time until a new job that can meet its objective starts. */
	readonly waitMs: Ms;
	/** Time by which each further piece delays later jobs. */
	readonly msPerPiece: Ms;
}

/** Options of {@link ForeignHosts.choose}. */
export interface ChooseHostOptions {
	readonly now: Ms;
	/** Expected times of calls, which are those of this host's own pools. */
	readonly times: Pick<PoolTimes, 'expectedCallMs'>;
	/** Time by which the plan must be ready. */
	readonly readyByMs: Ms;
	/** Hosts that cannot be reached any more are left out. */
	readonly isReachable: (host: string) => boolean;
	/** Time for a plan and its results to travel to a host and back. */
	readonly roundTripMs: (host: string) => Ms;
}

type HostState = {atMs: Ms; services: Map<string, {waitMs: Ms; msPerPiece: Ms}>};

/**
 * Loads of the hosts of other cells, by which a host whose own pools are busy chooses another one for a plan. What it sends
 * there counts at once, so that a burst is spread over several hosts before their next report arrives.
 *
 * @example
 * hosts.update('riga-b-1', loads, now);
 * hosts.choose(plan, {now, times, readyByMs, isReachable, roundTripMs}); // 'riga-b-1'
 */
export class ForeignHosts {
	static create(): ForeignHosts {
		return new ForeignHosts();
	}

	readonly #hosts = new Map<string, HostState>();

	private constructor() {}

	/** Replaces the load of a host by its latest report. */
	update(host: string, loads: readonly ServiceLoad[], now: Ms): void {
		this.#hosts.set(host, {atMs: now, services: new Map(loads.map(({service, waitMs, msPerPiece}) => [service, {waitMs, msPerPiece}]))});
	}

	/** Forgets a host. */
	remove(host: string): void {
		this.#hosts.delete(host);
	}

	/** Whether a host has reported its load a short time ago. */
	isFresh(host: string, now: Ms): boolean {
		return now - (this.#hosts.get(host)?.atMs ?? -Infinity) <= maxLoadAgeMs;
	}

	/** Returns the host at which a plan is expected to be ready first, and counts the plan there; `undefined` if none is expected to be ready in time. */
	choose(plan: StagePlan, options: ChooseHostOptions): string | undefined {
		const {now, times, readyByMs, isReachable, roundTripMs} = options;
		let best: {host: string; readyMs: Ms} | undefined;
		for (const [host, {atMs, services}] of this.#hosts) {
			if (now - atMs > maxLoadAgeMs) {
				this.#hosts.delete(host);
				continue;
			}

			if (!isReachable(host) || !plan.stages.every(({service, pieces}) => pieces === 0 || services.has(service))) {
				continue;
			}

			const forecast = PlanForecast.create(plan, {
				expectedCallMs: (service, pieces, kind) => times.expectedCallMs(service, pieces, kind),
				// Time has passed since the report, but other hosts send plans there as well.
				expectedWaitMs: service => services.get(service)!.waitMs,
			});
			const readyMs = now + forecast.predictMs(plan.callByMs) + roundTripMs(host);
			if (readyMs <= readyByMs && (!best || readyMs < best.readyMs)) {
				best = {host, readyMs};
			}
		}

		if (best) {
			this.#count(plan, best.host);
		}

		return best?.host;
	}

	#count(plan: StagePlan, host: string): void {
		const {services} = this.#hosts.get(host)!;
		for (const {service, pieces} of plan.stages) {
			const load = services.get(service);
			if (load) {
				load.waitMs += pieces * load.msPerPiece;
			}
		}
	}
}
