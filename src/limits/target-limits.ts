import type {Clock, Ms} from '../clock/index.js';
import {
	maxLimitHops, passOn, PendingReplies, type Link, type LinkMessage, type RelayMesh,
} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import type {RelayTarget, TargetRegistry} from '../registry/index.js';
import {RateSchedule, type Reservation} from './rate-schedule.js';

/** Limit above which a target takes all that it is sent, in requests per second. */
const maxPerSecond = 1000;
/** Time for which an entry VM waits for the one that gives places, which is one region away at most. */
const replyTimeoutMs: Ms = 250;
/** Time after which an entry VM asks again when the one that gives places is not reachable, or replies too late. */
const unreachableRetryMs: Ms = 500;
/** Time without a request after which the schedule of a target is dropped. */
const scheduleTtlMs: Ms = 60_000;

/** Link message about limits of targets. */
export type LimitMessage = LinkMessage & {type: 'target-limit' | 'limit-request' | 'limit-reply'};

/** Operations of the mesh that the limits use. */
export type LimitsMesh = Pick<RelayMesh, 'leader' | 'isInCell' | 'broadcast' | 'broadcastToLeaders' | 'coordinatorOf'>;

/** Dependencies of {@link TargetLimits}. */
export interface TargetLimitsOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly mesh: () => LimitsMesh | undefined;
	/** Share of a limit that this entry VM gives away, from 0 to 1: less than 1 where others may do so too. */
	readonly share: () => number;
	readonly targets: Pick<TargetRegistry, 'get' | 'all'>;
}

/** A target with a limit, as entry VMs name it to each other. */
type PlaceRequest = {target: string; startedMs: number | null; zone: string; perSecond: number; maxWaitMs: Ms; hops: number};

/**
 * Limits that targets in need name in their responses: requests per second from all entry VMs together, for as long as
 * the responses say so. One entry VM gives away the places at each target, the leader of the cell of its zone, so that
 * the limit holds for the fleet; the others ask it over their links before each request to such a target.
 *
 * @example
 * limits.observe(target, {perSecond: 1, sentMs});
 * const reservation = await limits.reserve(target, 0);
 */
export class TargetLimits {
	static create(options: TargetLimitsOptions): TargetLimits {
		return new TargetLimits(options);
	}

	/** Schedules of targets for which this entry VM gives places, least recently used first. */
	readonly #schedules = new Map<string, {schedule: RateSchedule; usedMs: Ms}>();
	readonly #replies: PendingReplies<Reservation>;
	/** Requests for a place that are under way. A target is asked for one place at a time, as the next request may be spared by the reply. */
	readonly #asking = new Map<RelayTarget, Promise<Reservation>>();

	private constructor(private readonly options: TargetLimitsOptions) {
		this.#replies = PendingReplies.create(options.clock);
	}

	/**
	 * Handles a response of a target to a request sent at `sentMs`. `perSecond` is `undefined` if it names no limit, and NaN
	 * if it names one that cannot be read, which is ignored. A response to a request that was sent before the limit was
	 * last named does not end the limit.
	 */
	observe(target: RelayTarget, {perSecond, sentMs}: {perSecond: number | undefined; sentMs: Ms}): void {
		const {clock, logger} = this.options;
		if (perSecond !== undefined && !(perSecond >= 0)) {
			if (!target.hasUnreadableLimit) {
				target.hasUnreadableLimit = true;
				logger.warn('Ignored a limit that a target names: it is no number of requests.', {target: target.id, service: target.entry.service});
			}

			return;
		}

		const named = perSecond !== undefined && perSecond <= maxPerSecond ? perSecond : undefined;
		if (named !== undefined || (target.limit && sentMs >= target.limit.seenMs)) {
			this.#apply(target, named, clock.now());
		}
	}

	/**
	 * Resolves with a place for a request to a target with a limit, or with the time after which to ask again. The place is
	 * free within `maxWaitMs` of the call, which includes the time that it takes to ask for it.
	 */
	async reserve(target: RelayTarget, maxWaitMs: Ms): Promise<Reservation> {
		const {limit, entry} = target;
		if (!limit) {
			return {waitMs: 0};
		}

		const {clock} = this.options;
		const untilMs = clock.now() + maxWaitMs;
		for (let asking = this.#asking.get(target); asking; asking = this.#asking.get(target)) {
			await asking;
		}

		const reserving = this.#findPlace({
			target: target.id, startedMs: entry.startedMs ?? null, zone: entry.zone, perSecond: limit.perSecond, maxWaitMs: Math.max(0, untilMs - clock.now()), hops: 0,
		});
		this.#asking.set(target, reserving);
		let reservation: Reservation;
		try {
			reservation = await reserving;
		} finally {
			this.#asking.delete(target);
		}

		if (!('waitMs' in reservation)) {
			return reservation;
		}

		// The wait counts from some time between the request for the place and its reply: ending it by `untilMs` is not too early.
		const leftMs = untilMs - clock.now();
		return leftMs < 0 && maxWaitMs > 0 ? {retryAfterMs: unreachableRetryMs} : {waitMs: Math.min(reservation.waitMs, Math.max(0, leftMs))};
	}

	/** Handles a message of a peer. */
	receive(link: Link, message: LimitMessage): void {
		switch (message.type) {
			case 'target-limit': {
				const target = this.options.targets.get(message.target);
				if (target && (target.entry.startedMs ?? null) === message.startedMs) {
					this.#apply(target, message.perSecond ?? undefined, this.options.clock.now() - message.agoMs, link);
				}

				break;
			}

			case 'limit-request': {
				void this.#answer(link, message);
				break;
			}

			case 'limit-reply': {
				this.#replies.reply(link, message.id, message.waitMs === null ? {retryAfterMs: message.retryAfterMs} : {waitMs: message.waitMs});
				break;
			}
		}
	}

	/** Tells a peer that has just been linked of the limits that are known here. */
	linkUp(link: Link): void {
		for (const target of this.options.targets.all()) {
			if (target.limit) {
				link.send(this.#encode(target));
			}
		}
	}

	/** Ends the requests for places that were sent over a link. */
	linkLost(link: Link): void {
		this.#replies.linkLost(link);
	}

	/** Applies what was seen of a target at `seenMs`, and tells the fleet of a change. */
	#apply(target: RelayTarget, perSecond: number | undefined, seenMs: Ms, from?: Link): void {
		const {clock, logger, mesh} = this.options;
		const {limit: current} = target;
		const isOld = from !== undefined && seenMs <= target.limitSeenMs;
		if (isOld || (perSecond === undefined && !current)) {
			return;
		}

		target.limitSeenMs = seenMs;
		target.limit = perSecond === undefined ? undefined : {perSecond, seenMs};
		if (current?.perSecond === perSecond) {
			return;
		}

		target.limitedUntilMs = 0;
		logger.info(perSecond === undefined ? 'A target no longer names a limit.' : 'A target names a limit.', {
			target: target.id, service: target.entry.service, per_s: perSecond, before: current?.perSecond, age_ms: Math.round(clock.now() - seenMs), source: from?.peer.name ?? 'self',
		});
		const links = mesh();
		if (links) {
			passOn(links, this.#encode(target), from);
		}

		// Those that wait for a connection have no place within the limit.
		if (!current) {
			target.withdrawUnsent();
		}
	}

	#encode(target: RelayTarget): LimitMessage {
		return {
			type: 'target-limit', target: target.id, startedMs: target.entry.startedMs ?? null, perSecond: target.limit?.perSecond ?? null, agoMs: Math.max(0, this.options.clock.now() - target.limitSeenMs),
		};
	}

	/** Finds a place, and remembers until when there is none. */
	async #findPlace(request: PlaceRequest): Promise<Reservation> {
		const {clock, targets} = this.options;
		const found = targets.get(request.target);
		const target = (found?.entry.startedMs ?? null) === request.startedMs ? found : undefined;
		const freeInMs = (target?.limitedUntilMs ?? 0) - clock.now() - request.maxWaitMs;
		if (freeInMs > 0) {
			return {retryAfterMs: freeInMs};
		}

		const reservation = await this.#askForPlace(request);
		if (target && 'retryAfterMs' in reservation) {
			target.limitedUntilMs = clock.now() + request.maxWaitMs + reservation.retryAfterMs;
		}

		return reservation;
	}

	/** Takes a place here, if this entry VM gives the places at the target, or else at the one that does. */
	async #askForPlace(request: PlaceRequest): Promise<Reservation> {
		const {clock, mesh} = this.options;
		const links = mesh();
		const coordinator = links ? links.coordinatorOf(request.zone) : 'self';
		if (coordinator === 'self') {
			return this.#schedule(request).reserve(clock.now(), request.maxWaitMs);
		}

		if (!coordinator || request.hops >= maxLimitHops) {
			return {retryAfterMs: unreachableRetryMs};
		}

		const reply = await this.#replies.request(coordinator, replyTimeoutMs, id => coordinator.send({
			type: 'limit-request', id, ...request, hops: request.hops + 1,
		}));
		if (typeof reply !== 'string') {
			return reply;
		}

		this.options.logger.info('Got no place at a target with a limit: the entry VM that gives them did not reply.', {target: request.target, peer: coordinator.peer.name, cause: reply});
		return {retryAfterMs: unreachableRetryMs};
	}

	async #answer(link: Link, {type, id, ...request}: LimitMessage & {type: 'limit-request'}): Promise<void> {
		const reservation = await this.#findPlace(request);
		link.send({
			type: 'limit-reply', id, waitMs: 'waitMs' in reservation ? reservation.waitMs : null, retryAfterMs: 'waitMs' in reservation ? 0 : reservation.retryAfterMs,
		});
	}

	#schedule({target, startedMs, perSecond}: PlaceRequest): RateSchedule {
		const now = this.options.clock.now();
		for (const [key, {usedMs}] of this.#schedules) {
			if (now - usedMs < scheduleTtlMs) {
				break;
			}

			this.#schedules.delete(key);
		}

		const key = `${target} ${startedMs ?? ''}`;
		const rate = perSecond * this.options.share();
		const schedule = this.#schedules.get(key)?.schedule ?? RateSchedule.create(rate, now);
		schedule.setRate(rate);
		this.#schedules.delete(key);
		this.#schedules.set(key, {schedule, usedMs: now});
		return schedule;
	}
}
