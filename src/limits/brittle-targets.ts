import type {Clock, Ms} from '../clock/index.js';
import {
	maxLimitHops, passOn, PendingReplies, type Link, type LinkMessage, type RelayMesh,
} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import type {Random} from '../random/index.js';
import type {RelayTarget} from '../registry/index.js';
import {boundDenial} from './bound-denial.js';
import {BrittleSlots, type SlotReply} from './brittle-slots.js';

/** Time for which an entry VM waits for the coordinator, which is one region away at most. */
const replyTimeoutMs: Ms = 250;
/** Time after a response that says that a service is brittle in which one without that does not end it: it may come from a target that has just started. */
const minBrittleMs: Ms = 1000;
/** Part of the bound that the entry VMs without a coordinator may use together. */
const sharePart = 0.5;
/** Time after which to ask again without a coordinator that replies, while the number of entry VMs is not known. */
const unreachableRetryMs: Ms = 500;

/** Time without a request for a slot after which a start of a target is forgotten. */
const localTtlMs: Ms = 30_000;

/** Link message about brittle targets. */
export type BrittleMessage = LinkMessage & {type: 'service-brittle' | 'slot-request' | 'slot-reply' | 'slot-release'};

/** Operations of the mesh that brittle targets use. */
export type BrittleMesh = Pick<RelayMesh, 'leader' | 'isInCell' | 'broadcast' | 'broadcastToLeaders' | 'coordinatorOf'>;

/** Dependencies of {@link BrittleTargets}. */
export interface BrittleTargetsOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly random: Pick<Random, 'float'>;
	/** Incarnation of this entry VM. */
	readonly self: string;
	readonly mesh: () => BrittleMesh | undefined;
	/** Part of the entry VMs that use this one as their coordinator, from 0 to 1: less than 1 where others may use another one. */
	readonly share: () => number;
	/** Returns the number of entry VMs; `undefined` while it is not known. */
	readonly entryVms: () => number | undefined;
}

/** A slot at a brittle target. It is released once, `isRejected` if the target had no place for the request. */
export interface BrittleSlot {
	release(isRejected: boolean): void;
}

type Named = {readonly perSecond: number | undefined; readonly seenMs: Ms; readonly sinceMs: Ms};
type SlotQuery = {readonly target: string; readonly startedMs: number | null; readonly zone: string; readonly slots: number; readonly perSecond: number; readonly holder: string; readonly held: number; readonly hops: number};
type LocalSlots = {held: number; asking: Promise<unknown> | undefined; deniedUntilMs: Ms; nextShareMs: Ms | undefined; usedMs: Ms};

/**
 * Targets that crash if they have to reject too many requests in a second, as all responses of their service say. A
 * request needs one of the target's slots, which the leader of the cell of its zone grants for all entry VMs; without one
 * it is rejected at once. Without a reply of the leader, an entry VM sends no more than its share of the bound.
 *
 * @example
 * const slot = await brittle.reserve(target);
 */
export class BrittleTargets {
	static create(options: BrittleTargetsOptions): BrittleTargets {
		return new BrittleTargets(options);
	}

	/** Services that are, or were, brittle, and when that was last seen by any entry VM. */
	readonly #services = new Map<string, Named>();
	#brittleCount = 0;
	readonly #slots = BrittleSlots.create();
	/** Slots of this entry VM by start of a target, least recently asked for first. */
	readonly #local = new Map<string, LocalSlots>();
	readonly #replies: PendingReplies<SlotReply>;
	readonly #unreadable = new WeakSet<RelayTarget>();

	private constructor(private readonly options: BrittleTargetsOptions) {
		this.#replies = PendingReplies.create(options.clock);
	}

	/** Whether any service is brittle. */
	get hasAny(): boolean {
		return this.#brittleCount > 0;
	}

	/** Number of starts of targets that are kept. */
	get size(): number {
		return this.#local.size;
	}

	/** Whether a request to a target needs a slot. */
	isBrittle({entry}: RelayTarget): boolean {
		return this.hasAny && this.#services.get(entry.service)?.perSecond !== undefined;
	}

	/** Whether it is known that no slot of a target is free now. */
	isDenied(target: RelayTarget): boolean {
		return this.isBrittle(target) && this.options.clock.now() < (this.#local.get(keyOf(target))?.deniedUntilMs ?? 0);
	}

	/**
	 * Handles a response of a target to a request sent at `sentMs`. `perSecond` is the number of requests that it may reject
	 * in a second, `undefined` if it does not say that it is brittle, and NaN if that cannot be read, which is ignored.
	 */
	observe(target: RelayTarget, {perSecond, sentMs}: {perSecond: number | undefined; sentMs: Ms}): void {
		if (perSecond === undefined && !this.hasAny) {
			return;
		}

		const {clock, logger} = this.options;
		const {service} = target.entry;
		const now = clock.now();
		const current = this.#services.get(service);
		if (perSecond === undefined) {
			if (current?.perSecond !== undefined && sentMs >= current.seenMs && now - current.seenMs >= minBrittleMs) {
				this.#apply(service, undefined, now);
			}
		} else if (perSecond >= 0 && perSecond < Infinity) {
			this.#apply(service, perSecond, now);
		} else if (!this.#unreadable.has(target)) {
			this.#unreadable.add(target);
			logger.warn('Ignored a bound on rejected requests that a target names: it is no number of requests.', {target: target.id, service});
		}
	}

	/** Resolves with a slot of a brittle target, or with the time after which to ask again. */
	async reserve(target: RelayTarget): Promise<BrittleSlot | {readonly retryAfterMs: Ms}> {
		const {clock} = this.options;
		const local = this.#localSlots(keyOf(target));
		while (local.asking) {
			await local.asking;
		}

		if (clock.now() < local.deniedUntilMs) {
			return {retryAfterMs: local.deniedUntilMs - clock.now()};
		}

		const asking = this.#find(this.#queryOf(target, local.held), local);
		local.asking = asking;
		let reply: SlotReply;
		try {
			reply = await asking;
		} finally {
			local.asking = undefined;
		}

		if (!reply.isGranted) {
			local.deniedUntilMs = clock.now() + reply.retryAfterMs;
			return {retryAfterMs: reply.retryAfterMs};
		}

		local.held++;
		return this.#createSlot(target, local);
	}

	/** Handles a message of a peer. */
	receive(link: Link, message: BrittleMessage): void {
		switch (message.type) {
			case 'service-brittle': {
				this.#apply(message.service, message.perSecond ?? undefined, this.options.clock.now() - message.agoMs, link);
				break;
			}

			case 'slot-request': {
				void this.#answer(link, message);
				break;
			}

			case 'slot-reply': {
				this.#replies.reply(link, message.id, message.isGranted ? {isGranted: true} : {isGranted: false, retryAfterMs: boundDenial(message.retryAfterMs)});
				break;
			}

			case 'slot-release': {
				const {type, isRejected, ...query} = message;
				this.#release({...query, perSecond: 0}, isRejected);
				break;
			}
		}
	}

	/** Sends the brittle services to a peer that has just been linked. */
	linkUp(link: Link): void {
		for (const [service, named] of this.#services) {
			if (named.perSecond !== undefined) {
				link.send(this.#encode(service, named));
			}
		}
	}

	/** Ends the requests that were sent over a link. */
	linkLost(link: Link): void {
		this.#replies.linkLost(link);
		this.#slots.holderLost(link.peer.incarnation, this.options.clock.now());
	}

	/** Applies what was seen of a service at `seenMs`, and passes a change on to the other entry VMs. */
	#apply(service: string, perSecond: number | undefined, seenMs: Ms, from?: Link): void {
		const {clock, logger, mesh} = this.options;
		const current = this.#services.get(service);
		const isOld = from !== undefined && seenMs <= (current?.seenMs ?? -Infinity);
		if (isOld || (!current && perSecond === undefined)) {
			return;
		}

		const isSame = current?.perSecond === perSecond;
		const named = {perSecond, seenMs, sinceMs: isSame ? current!.sinceMs : seenMs};
		this.#services.set(service, named);
		if (isSame) {
			return;
		}

		this.#brittleCount = [...this.#services.values()].filter(other => other.perSecond !== undefined).length;
		if (!this.hasAny) {
			this.#slots.clear();
			for (const [key, {held, asking}] of this.#local) {
				if (held === 0 && !asking) {
					this.#local.delete(key);
				}
			}
		}

		logger.info(perSecond === undefined ? 'The targets of a service are no longer brittle.' : 'The targets of a service are brittle.', {
			service, reason: 'brittle', per_s: perSecond, before: current?.perSecond, age_ms: Math.round(clock.now() - (perSecond === undefined ? current!.sinceMs : seenMs)), source: from?.peer.name ?? 'self',
		});
		const links = mesh();
		if (links) {
			passOn(links, this.#encode(service, named), from);
		}
	}

	/** Returns the slots of a start of a target, and forgets those that are neither used nor restrict a later request. */
	#localSlots(key: string): LocalSlots {
		const now = this.options.clock.now();
		const local = this.#local.get(key) ?? {
			held: 0, asking: undefined, deniedUntilMs: 0, nextShareMs: undefined, usedMs: now,
		};
		local.usedMs = now;
		this.#local.delete(key);
		this.#local.set(key, local);
		for (const [other, {held, asking, nextShareMs, usedMs}] of this.#local) {
			if (now - usedMs < localTtlMs) {
				break;
			}

			if (held === 0 && !asking && (nextShareMs ?? 0) <= now) {
				this.#local.delete(other);
			}
		}

		return local;
	}

	#encode(service: string, {perSecond, seenMs}: Named): BrittleMessage {
		return {
			type: 'service-brittle', service, perSecond: perSecond ?? null, agoMs: Math.max(0, this.options.clock.now() - seenMs),
		};
	}

	#queryOf({id, entry}: RelayTarget, held: number): SlotQuery {
		return {
			target: id, startedMs: entry.startedMs ?? null, zone: entry.zone, slots: Math.max(1, entry.slots), perSecond: this.#services.get(entry.service)?.perSecond ?? 0, holder: this.options.self, held, hops: 0,
		};
	}

	#createSlot(target: RelayTarget, local: LocalSlots): BrittleSlot {
		let isHeld = true;
		return {
			release: isRejected => {
				if (!isHeld) {
					return;
				}

				isHeld = false;
				local.held--;
				local.deniedUntilMs = isRejected ? local.deniedUntilMs : 0;
				if (this.isBrittle(target)) {
					// A slot that has been asked for may be granted before this arrives.
					this.#release(this.#queryOf(target, local.held + (local.asking ? 1 : 0)), isRejected);
				}
			},
		};
	}

	/** Asks the coordinator for a slot; without one, takes one within the share of this entry VM. */
	async #find(query: SlotQuery, local: LocalSlots): Promise<SlotReply> {
		return await this.#ask(query) ?? this.#takeShare(query, local);
	}

	/** Resolves with the reply of the coordinator, which may be this entry VM; `undefined` without one. */
	async #ask(query: SlotQuery): Promise<SlotReply | undefined> {
		const {clock, mesh, share, logger} = this.options;
		const coordinator = mesh()?.coordinatorOf(query.zone);
		if (coordinator === 'self') {
			return share() < 1 ? undefined : this.#slots.take({...query, target: nameOf(query)}, clock.now());
		}

		if (!coordinator || query.hops >= maxLimitHops) {
			return undefined;
		}

		const reply = await this.#replies.request(coordinator, replyTimeoutMs, id => coordinator.send({
			type: 'slot-request', id, ...query, hops: query.hops + 1,
		}));
		if (typeof reply !== 'string') {
			return reply;
		}

		logger.info('Got no slot of a brittle target: the coordinator did not reply.', {target: query.target, peer: coordinator.peer.name, cause: reply});
		return undefined;
	}

	/** Takes a slot without a coordinator, so seldom that all entry VMs together keep well below the bound. */
	#takeShare({perSecond}: SlotQuery, local: LocalSlots): SlotReply {
		const {clock, random, entryVms} = this.options;
		const now = clock.now();
		const vms = entryVms();
		if (vms === undefined || perSecond === 0) {
			return {isGranted: false, retryAfterMs: unreachableRetryMs};
		}

		const intervalMs = 1000 * vms / (perSecond * sharePart);
		local.nextShareMs ??= now + (intervalMs * random.float());
		if (now < local.nextShareMs) {
			return {isGranted: false, retryAfterMs: Math.min(unreachableRetryMs, local.nextShareMs - now)};
		}

		local.nextShareMs = now + intervalMs;
		return {isGranted: true};
	}

	async #answer(link: Link, {type, id, ...query}: BrittleMessage & {type: 'slot-request'}): Promise<void> {
		const reply = await this.#ask(query);
		// Without a coordinator, no reply tells the sender to use its own share.
		if (reply) {
			link.send({
				type: 'slot-reply', id, isGranted: reply.isGranted, retryAfterMs: reply.isGranted ? 0 : reply.retryAfterMs,
			});
		}
	}

	/** Tells the coordinator of the slots that are left. */
	#release({perSecond, ...query}: SlotQuery, isRejected: boolean): void {
		const {clock, mesh} = this.options;
		const coordinator = mesh()?.coordinatorOf(query.zone);
		if (coordinator === 'self') {
			this.#slots.release({...query, target: nameOf(query)}, isRejected, clock.now());
		} else if (coordinator && query.hops < maxLimitHops) {
			coordinator.send({
				type: 'slot-release', ...query, hops: query.hops + 1, isRejected,
			});
		}
	}
}

function nameOf({target, startedMs}: Pick<SlotQuery, 'target' | 'startedMs'>): string {
	return `${target} ${startedMs ?? ''}`;
}

function keyOf({id, entry: {startedMs}}: RelayTarget): string {
	return `${id} ${startedMs ?? ''}`;
}
