import type {Clock, Ms} from '../clock/index.js';
import type {EventRecorder} from '../events/index.js';
import type {ListenAddress} from '../http/index.js';
import type {PartLogger} from '../logs/index.js';
import type {Random} from '../random/index.js';
import {backoffMs} from './backoff.js';
import type {LinkBytes, LinkDistance} from './link-bytes.js';
import type {LinkCloseReason} from './link-error.js';
import type {LinkIdentity} from './link-identity.js';
import type {LinkKey} from './link-key.js';
import type {LinkMessage, LinkMessageType, LinkTime} from './link-message.js';
import type {LinkSocket} from './link-socket.js';
import {Link, pingIntervalMs} from './link.js';
import type {Member, Membership} from './membership.js';

/** The peer with the smaller name dials; the other one dials too when no link has come up for this long. */
const fallbackDialMs: Ms = 3000;
/** An entry VM that has just started dials every peer, since the VM list tells the others of it only later. */
const joinMs: Ms = 10_000;
/** A link that is no longer needed stays open for this long, so that changing gateways do not flap. */
const lingerMs: Ms = 10_000;
/** A log line about strangers is written at most once in this time. */
const strangerLogMs: Ms = 10_000;

/** Parts and listeners of the links. */
export interface PeerLinksOptions {
	readonly clock: Clock;
	readonly random: Random;
	readonly self: LinkIdentity;
	readonly key: LinkKey;
	readonly membership: Membership;
	readonly bytes: LinkBytes;
	readonly events: EventRecorder;
	readonly logger: PartLogger;
	readonly connect: (address: ListenAddress) => LinkSocket;
	readonly distanceTo: (zone: string) => LinkDistance;
	/**
	 * Tells which members this entry VM needs a link to, and makes it dial them itself; without it, the members of its
	 * zone and the gateways of other zones.
	 */
	readonly needs?: (name: string) => boolean;
	/** Interval of heartbeats, where it is not the usual one; the same at every entry VM. */
	readonly pingMs?: Ms;
	readonly onUp: (link: Link) => void;
	readonly onMessage: (link: Link, message: LinkMessage, time: LinkTime | undefined) => void;
	readonly onClosed: (link: Link) => void;
	readonly onDropped: (link: Link, cause: LinkMessageType) => void;
}

/** `heardMs` is the time of the last frame on the link that was lost. */
type Dial = {wantedSinceMs: Ms; attempt: number; dueMs: Ms; link: Link | undefined; heardMs?: Ms};

/**
 * The links of an entry VM: one for each peer of its zone, and for gateways one for each gateway of other zones.
 * Dials, replaces and closes them.
 *
 * @internal
 */
export class PeerLinks {
	static create(options: PeerLinksOptions): PeerLinks {
		return new PeerLinks(options);
	}

	readonly #links = new Map<string, Link>();
	readonly #pending = new Set<Link>();
	readonly #dials = new Map<string, Dial>();
	readonly #unneededSince = new Map<string, Ms>();
	readonly #startedMs: Ms;
	#lastTickMs: Ms;
	#strangerLoggedMs = -Infinity;
	#cancelTick: () => void = () => undefined;
	#isClosed = false;

	private constructor(private readonly options: PeerLinksOptions) {
		this.#startedMs = options.clock.now();
		this.#lastTickMs = this.#startedMs;
	}

	start(): void {
		this.#tick();
	}

	/** Links that are up. */
	up(): readonly Link[] {
		return [...this.#links.values()];
	}

	byName(name: string): Link | undefined {
		return this.#links.get(name);
	}

	byIncarnation(incarnation: string): Link | undefined {
		return this.up().find(link => link.peer.incarnation === incarnation);
	}

	/** Time since the last frame of a peer, in ms; `undefined` where none arrived on a present or lost link. */
	silentMs(name: string): Ms | undefined {
		const heardMs = this.#links.get(name)?.lastReceivedMs ?? this.#dials.get(name)?.heardMs;
		return heardMs === undefined ? undefined : this.options.clock.now() - heardMs;
	}

	/** Time for which a needed link has been missing, in ms; 0 while there is one or none is needed. */
	missingMs(name: string): Ms {
		const dial = this.#dials.get(name);
		return dial && !this.#links.has(name) ? this.options.clock.now() - dial.wantedSinceMs : 0;
	}

	/** Takes a connection of another process. */
	accept(socket: LinkSocket): Link {
		return this.#link(socket, 'server');
	}

	/** Closes every link. */
	close(): void {
		this.#isClosed = true;
		this.#cancelTick();
		for (const link of [...this.#links.values(), ...this.#pending]) {
			link.close('shutdown');
		}
	}

	get #pingMs(): Ms {
		return this.options.pingMs ?? pingIntervalMs;
	}

	#tick(): void {
		const {clock} = this.options;
		const now = clock.now();
		const isLate = now - this.#lastTickMs > 2 * this.#pingMs;
		this.#lastTickMs = now;
		for (const link of this.#links.values()) {
			link.tick(isLate);
		}

		this.#closeUnneeded(now);
		this.#dialDue(now);
		if (!this.#isClosed) {
			this.#cancelTick = clock.after(this.#pingMs, () => {
				this.#tick();
			});
		}
	}

	/** Members that this entry VM should have a link to. A zone not known yet is learned by dialling. */
	#needed(): Member[] {
		const {membership, self, needs} = this.options;
		if (needs) {
			return membership.members().filter(member => needs(member.name));
		}

		const {isGateway} = membership;
		const remote = new Set(isGateway ? membership.otherZones().flatMap(zone => membership.gateways(zone)) : []);
		return membership.members().filter(member => member.zone === undefined || member.zone === self.zone || remote.has(member.name));
	}

	#dialDue(now: Ms): void {
		const needed = new Map(this.#needed().map(member => [member.name, member]));
		for (const name of this.#dials.keys()) {
			if (!needed.has(name) && !this.#dials.get(name)!.link) {
				this.#dials.delete(name);
			}
		}

		for (const member of needed.values()) {
			if (this.#isClosed || this.#links.has(member.name) || !member.address) {
				continue;
			}

			let dial = this.#dials.get(member.name);
			if (!dial) {
				dial = {
					wantedSinceMs: now, attempt: 0, dueMs: now, link: undefined,
				};
				this.#dials.set(member.name, dial);
			}

			const isDialler = this.options.needs !== undefined || this.options.self.name < member.name || now - this.#startedMs < joinMs || now - dial.wantedSinceMs >= fallbackDialMs;
			if (isDialler && !dial.link && now >= dial.dueMs) {
				this.#dial(member.name, member.address, dial);
			}
		}
	}

	#dial(name: string, address: ListenAddress, dial: Dial): void {
		dial.dueMs = this.options.clock.now() + backoffMs(dial.attempt, this.options.random);
		dial.attempt++;
		dial.link = this.#link(this.options.connect(address), 'client', name);
	}

	#link(socket: LinkSocket, role: 'client' | 'server', expectedName?: string): Link {
		const {self, key, clock, bytes, distanceTo, onMessage, onDropped} = this.options;
		const link = Link.create({
			socket,
			role,
			key,
			self,
			clock,
			bytes,
			distanceTo,
			onMessage,
			onDropped,
			pingMs: this.#pingMs,
			...(expectedName === undefined ? {} : {expectedName}),
			onUp: () => {
				this.#up(link);
			},
			onClosed: (_link, reason, detail) => {
				this.#closed(link, expectedName, reason, detail);
			},
		});
		this.#pending.add(link);
		return link;
	}

	#up(link: Link): void {
		const {self, membership, events, logger, onUp} = this.options;
		const {peer} = link;
		if (peer.name === self.name) {
			link.close('wrong_name', 'the peer has the name of this entry VM');
			return;
		}

		const existing = this.#links.get(peer.name);
		if (existing?.peer.incarnation === peer.incarnation && this.#isPreferred(existing) && !this.#isPreferred(link)) {
			link.close('replaced', 'both ends dialled');
			return;
		}

		this.#pending.delete(link);
		this.#links.set(peer.name, link);
		if (existing) {
			existing.close('replaced');
			this.options.onClosed(existing);
		}

		this.#dials.delete(peer.name);
		membership.linked(peer);
		events.record({kind: 'link_state', target: peer.name, detail: `up, incarnation ${peer.incarnation}`});
		logger.info('Linked.', {peer: peer.name, zone: peer.zone, role: link.role});
		onUp(link);
	}

	/** Of two simultaneous connections both ends keep the one that the smaller name dialled. */
	#isPreferred(link: Link): boolean {
		return (this.options.self.name < link.peer.name) === (link.role === 'client');
	}

	#closed(link: Link, expectedName: string | undefined, reason: LinkCloseReason, detail: string): void {
		this.#pending.delete(link);
		const dial = expectedName === undefined ? undefined : this.#dials.get(expectedName);
		if (dial?.link === link) {
			dial.link = undefined;
		}

		if (expectedName === undefined) {
			this.#reportStranger(reason, detail);
		} else if (dial && !this.#links.has(expectedName)) {
			this.options.membership.lost(expectedName);
			if (reason === 'bad_handshake' || reason === 'unknown_version' || reason === 'wrong_name') {
				this.options.logger.warn('Cannot link.', {peer: expectedName, reason, detail});
			}
		}

		const name = [...this.#links].find(([, other]) => other === link)?.[0];
		if (name !== undefined) {
			this.#lost(name, link, reason, detail);
		}
	}

	#lost(name: string, link: Link, reason: LinkCloseReason, detail: string): void {
		const {membership, events, logger, onClosed} = this.options;
		this.#links.delete(name);
		events.record({kind: 'link_state', target: name, detail: `${reason}${detail === '' ? '' : `: ${detail}`}`});
		if (reason !== 'shutdown') {
			logger.warn('Lost a link.', {peer: name, reason, detail});
		}

		if (reason !== 'not_needed') {
			membership.lost(name);
		}

		onClosed(link);
		if (!this.#isClosed && reason !== 'not_needed') {
			this.#redial(name, link.lastReceivedMs);
		}
	}

	/** Replaces a lost link without waiting for the next tick. */
	#redial(name: string, heardMs: Ms): void {
		const {clock, random} = this.options;
		const now = clock.now();
		const delay = backoffMs(0, random);
		this.#dials.set(name, {
			wantedSinceMs: now, attempt: 1, dueMs: now + delay, link: undefined, heardMs,
		});
		clock.after(delay, () => {
			this.#dialDue(clock.now());
		});
	}

	#closeUnneeded(now: Ms): void {
		const needed = new Set(this.#needed().map(member => member.name));
		for (const [name, link] of this.#links) {
			// The end that dialled closes, since only it knows why the link was made. The other end may use it all the same.
			if (needed.has(name) || link.role === 'server' || (this.options.needs && now - link.lastUsedMs < lingerMs)) {
				this.#unneededSince.delete(name);
				continue;
			}

			const since = this.#unneededSince.get(name) ?? now;
			this.#unneededSince.set(name, since);
			if (now - since >= lingerMs) {
				this.#unneededSince.delete(name);
				link.close('not_needed');
			}
		}
	}

	#reportStranger(reason: LinkCloseReason, detail: string): void {
		const {clock, logger} = this.options;
		const isRefusal = reason === 'bad_handshake' || reason === 'unknown_version' || reason === 'handshake_timeout' || reason === 'evicted';
		if (isRefusal && (reason === 'unknown_version' || clock.now() - this.#strangerLoggedMs >= strangerLogMs)) {
			this.#strangerLoggedMs = clock.now();
			logger.warn('Refused a connection.', {reason, detail});
		}
	}
}
