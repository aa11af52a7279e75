import type {Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';
import type {RelayTarget} from '../registry/index.js';

/** Limit above which a target takes all that it is sent, in requests per second. */
const maxPerSecond = 1000;

/** Dependencies of {@link TargetLimits}. */
export interface TargetLimitsOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
}

/**
 * Limits that targets in need name in their responses: requests per second from all entry VMs together, for as long as
 * the responses say so.
 *
 * @example
 * limits.observe(target, {perSecond: 1, sentMs});
 */
export class TargetLimits {
	static create(options: TargetLimitsOptions): TargetLimits {
		return new TargetLimits(options);
	}

	private constructor(private readonly options: TargetLimitsOptions) {}

	/**
	 * Handles a response of a target to a request sent at `sentMs`. `perSecond` is `undefined` if it names no limit, and NaN
	 * if it names one that cannot be read, which is ignored. A response to a request that was sent before the limit was
	 * last named does not end the limit.
	 */
	observe(target: RelayTarget, {perSecond, sentMs}: {perSecond: number | undefined; sentMs: Ms}): void {
		const {clock, logger} = this.options;
		const current = target.limit;
		if (perSecond !== undefined && !(perSecond >= 0)) {
			if (!target.hasUnreadableLimit) {
				target.hasUnreadableLimit = true;
				logger.warn('Ignored a limit that a target names: it is no number of requests.', {target: target.id, service: target.entry.service});
			}

			return;
		}

		const now = clock.now();
		if (perSecond !== undefined && perSecond <= maxPerSecond) {
			target.limit = {perSecond, seenMs: now};
			if (current?.perSecond !== perSecond) {
				logger.info('A target names a limit.', {
					target: target.id, service: target.entry.service, per_s: perSecond, before: current?.perSecond,
				});
			}
		} else if (current && sentMs >= current.seenMs) {
			target.limit = undefined;
			logger.info('A target no longer names a limit.', {
				target: target.id, service: target.entry.service, before: current.perSecond, age_ms: Math.round(now - current.seenMs),
			});
		}
	}
}
