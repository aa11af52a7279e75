import type {Clock, Ms} from '../clock/index.js';
import {
	maxLimitHops, PendingReplies, type Link, type LinkMessage, type RelayMesh,
} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import {boundDenial} from './bound-denial.js';
import {boundWindowMs, permitTtlMs} from './cold-bound.js';
import {CoordinatorLease, type LeaseMesh, type LeaseMessage} from './coordinator-lease.js';
import {RateSchedule, type Reservation} from './rate-schedule.js';

/** Time for which an entry VM waits for the coordinator, which is one region away at most; a permit that comes later could hardly be used. */
const replyTimeoutMs: Ms = 250;
/** Time after which an entry VM asks again when no coordinator with a lease can be reached. */
const unreachableRetryMs: Ms = 500;
/** Time that the news of a cold phase takes to all entry VMs, which send to the target as a warm one until then. */
const newsDelayMs: Ms = 300;
/** Time without a request after which the schedule of a target is dropped. */
const scheduleTtlMs: Ms = 30_000;

/** Link message about permits for cold targets. */
export type PermitMessage = (LinkMessage & {type: 'permit-request' | 'permit-reply'}) | LeaseMessage;

/** Operations of the mesh that permits use. */
export type PermitsMesh = LeaseMesh & Pick<RelayMesh, 'coordinatorOf'>;

/** A cold target, as entry VMs name it to each other. */
export interface PermitTarget {
	readonly target: string;
	readonly service: string;
	readonly zone: string;
}

/** Permit to send a request in `waitMs`, but not after `sendByMs` of this entry VM's clock; or the time until one is free without a wait. */
export type Permit = {readonly waitMs: Ms; readonly sendByMs: Ms} | {readonly retryAfterMs: Ms};

/** Dependencies of {@link ColdPermits}. */
export interface ColdPermitsOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Incarnation of this entry VM. */
	readonly self: string;
	readonly mesh: () => PermitsMesh | undefined;
	/** Returns the rate at which a coordinator grants permits for a target of a service, in requests per second; `undefined` if the service declares no cold starts. */
	readonly rateOf: (service: string) => number | undefined;
	/** Returns when the cold phase of a target has begun, as far as it is known here. */
	readonly coldSinceMs: (target: string) => Ms | undefined;
}

type PermitRequest = PermitTarget & {readonly maxWaitMs: Ms; readonly hops: number};

/**
 * Permits for requests to cold targets, which bound what all entry VMs together send. The leader of the cell of the
 * target's zone grants them while it holds the lease of its cell; the others ask it over their links. Without a reply there
 * is no permit.
 *
 * @example
 * const permit = await permits.reserve({target: 'e-1', service: 'engines', zone: 'riga-a'}, 0);
 */
export class ColdPermits {
	static create(options: ColdPermitsOptions): ColdPermits {
		return new ColdPermits(options);
	}

	/** Schedules of targets for which this entry VM grants permits, least recently used first. */
	readonly #schedules = new Map<string, {schedule: RateSchedule; usedMs: Ms}>();
	readonly #replies: PendingReplies<Reservation>;
	readonly #lease: CoordinatorLease;
	/** Requests for a permit that are under way: a target is asked for one at a time, as the next request may be spared by the reply. */
	readonly #asking = new Map<string, Promise<unknown>>();
	/** Times until which there is no permit without a wait, by target; the one denied first comes first. */
	readonly #deniedUntilMs = new Map<string, Ms>();

	private constructor(private readonly options: ColdPermitsOptions) {
		this.#replies = PendingReplies.create(options.clock);
		this.#lease = CoordinatorLease.create(options);
	}

	/** Returns the time until which no permit without a wait is free, as far as it is known here. */
	deniedUntilMs(target: string): Ms {
		return this.#deniedUntilMs.get(target) ?? 0;
	}

	/** Number of targets for which a denial is kept. */
	get denialCount(): number {
		return this.#deniedUntilMs.size;
	}

	/** Resolves with a permit that is free within `maxWaitMs`, or with the time until one is free without a wait. */
	async reserve(target: PermitTarget, maxWaitMs: Ms): Promise<Permit> {
		const {clock} = this.options;
		const untilMs = clock.now() + maxWaitMs;
		const key = target.target;
		for (let asking = this.#asking.get(key); asking; asking = this.#asking.get(key)) {
			await asking;
		}

		const askedMs = clock.now();
		const leftMs = Math.max(0, untilMs - askedMs);
		const reserving = this.#find({...target, maxWaitMs: leftMs, hops: 0});
		this.#asking.set(key, reserving);
		let reservation: Reservation;
		try {
			reservation = await reserving;
		} finally {
			this.#asking.delete(key);
		}

		if ('retryAfterMs' in reservation) {
			return reservation;
		}

		return {waitMs: reservation.waitMs, sendByMs: askedMs + reservation.waitMs + permitTtlMs};
	}

	/** Drops the schedule of a target that has become cold: the requests that it got as a warm one count in its first second. */
	coldPhaseBegan(target: string): void {
		this.#schedules.delete(target);
		this.#deniedUntilMs.delete(target);
	}

	/** Handles a message of a peer. */
	receive(link: Link, message: PermitMessage): void {
		switch (message.type) {
			case 'permit-request': {
				void this.#answer(link, message);
				break;
			}

			case 'permit-reply': {
				this.#replies.reply(link, message.id, message.waitMs === null ? {retryAfterMs: boundDenial(message.retryAfterMs)} : {waitMs: message.waitMs});
				break;
			}

			default: {
				this.#lease.receive(link, message);
			}
		}
	}

	/** Ends the requests for permits that were sent over a link. */
	linkLost(link: Link): void {
		this.#replies.linkLost(link);
		this.#lease.linkLost(link);
	}

	/** Finds a permit, and remembers until when there is none. */
	async #find(request: PermitRequest): Promise<Reservation> {
		const {clock} = this.options;
		const freeInMs = this.deniedUntilMs(request.target) - clock.now() - request.maxWaitMs;
		if (freeInMs > 0) {
			return {retryAfterMs: freeInMs + request.maxWaitMs};
		}

		const reservation = await this.#ask(request);
		if ('retryAfterMs' in reservation) {
			this.#deny(request.target, clock.now() + reservation.retryAfterMs);
		} else {
			this.#deniedUntilMs.delete(request.target);
		}

		return reservation;
	}

	/** Remembers until when there is no permit for a target, and drops earlier denials that are over. */
	#deny(target: string, untilMs: Ms): void {
		const now = this.options.clock.now();
		this.#deniedUntilMs.delete(target);
		this.#deniedUntilMs.set(target, untilMs);
		for (const [key, endMs] of this.#deniedUntilMs) {
			if (endMs > now) {
				break;
			}

			this.#deniedUntilMs.delete(key);
		}
	}

	/** Grants a permit here, if this entry VM coordinates the target's zone, or else asks the one that does. */
	async #ask(request: PermitRequest): Promise<Reservation> {
		const coordinator = this.options.mesh()?.coordinatorOf(request.zone);
		if (coordinator === 'self') {
			return this.#grant(request);
		}

		if (!coordinator || request.hops >= maxLimitHops) {
			return {retryAfterMs: unreachableRetryMs};
		}

		const reply = await this.#replies.request(coordinator, replyTimeoutMs, id => coordinator.send({
			type: 'permit-request', id, ...request, hops: request.hops + 1,
		}));
		if (typeof reply !== 'string') {
			return reply;
		}

		this.options.logger.info('Got no permit for a cold target: the coordinator did not reply.', {target: request.target, peer: coordinator.peer.name, cause: reply});
		return {retryAfterMs: unreachableRetryMs};
	}

	async #grant(request: PermitRequest): Promise<Reservation> {
		const {clock, rateOf, mesh} = this.options;
		const rate = rateOf(request.service);
		const leaseUntilMs = rate === undefined ? undefined : await this.#lease.hold();
		const now = clock.now();
		// The lease may have been waited for while another entry VM has come to coordinate.
		if (rate === undefined || leaseUntilMs === undefined || mesh()?.coordinatorOf(request.zone) !== 'self') {
			return {retryAfterMs: unreachableRetryMs};
		}

		const schedule = this.#schedule(request.target, rate, now);
		const waitMs = schedule.freeAt(now) - now;
		// A successor may grant the permits for times after the lease.
		return waitMs > Math.min(request.maxWaitMs, leaseUntilMs - now) ? {retryAfterMs: waitMs} : schedule.reserve(now, waitMs);
	}

	async #answer(link: Link, {type, id, ...request}: LinkMessage & {type: 'permit-request'}): Promise<void> {
		const reservation = await this.#find(request);
		link.send({
			type: 'permit-reply', id, waitMs: 'waitMs' in reservation ? reservation.waitMs : null, retryAfterMs: 'waitMs' in reservation ? 0 : reservation.retryAfterMs,
		});
	}

	#schedule(target: string, rate: number, now: Ms): RateSchedule {
		for (const [key, {usedMs}] of this.#schedules) {
			if (now - usedMs < scheduleTtlMs) {
				break;
			}

			this.#schedules.delete(key);
		}

		const schedule = this.#schedules.get(target)?.schedule ?? RateSchedule.create(rate, Math.max(now, (this.options.coldSinceMs(target) ?? now) + boundWindowMs + newsDelayMs), 0);
		schedule.setRate(rate);
		this.#schedules.delete(target);
		this.#schedules.set(target, {schedule, usedMs: now});
		return schedule;
	}
}
