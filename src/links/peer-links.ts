import type {Clock, Ms} from '../clock/index.js';
import type {EventRecorder} from '../events/index.js';
import type {ListenAddress} from '../http/index.js';
import type {PartLogger} from '../logging/index.js';
import type {Random} from '../random/index.js';
import {backoffMs} from './backoff.js';
import type {LinkMetrics, LinkDistance} from './link-metrics.js';
import type {LinkCloseReason} from './link-error.js';
import type {LinkIdentity} from './link-identity.js';
import type {LinkKey} from './link-key.js';
import type {LinkMessage, LinkMessageType, LinkTime} from './link-message.js';
import type {LinkSocket} from './link-socket.js';
import {Link, pingIntervalMs, type FastPing} from './link.js';
import type {Member, Membership} from './membership.js';

/** Only the peer with the smaller name dials, until the link has been missing for this long; then both do. */
const fallbackDialDelayMs: Ms = 3000;
/** For this long after its start an entry VM dials peers regardless of their names: they see it in the VM list later. */
const startupDialMs: Ms = 10_000;
/** A link that is no longer needed stays open for this long, so that links do not flap when gateways change. */
const unneededGraceMs: Ms = 10_000;
/** Time within which a member that is not lost answers a dial, also one that is short of processor time. */
const answerMs: Ms = 600;
/** Refused connections are logged at most once in this interval, except those with an unknown protocol version. */
const refusalLogIntervalMs: Ms = 10_000;

/** Dependencies, settings and listeners of `PeerLinks`. */
export interface PeerLinksOptions {
	readonly clock: Clock;
	readonly random: Random;
	readonly self: LinkIdentity;
	readonly key: LinkKey;
	readonly membership: Membership;
	readonly metrics: LinkMetrics;
	readonly events: EventRecorder;
	readonly logger: PartLogger;
	readonly connect: (address: ListenAddress) => LinkSocket;
	readonly distanceTo: (zone: string) => LinkDistance;
	/**
	 * Returns the names of the members that this entry VM needs a link to; it then always dials them itself. By default
	 * these are the members of its zone and, at a gateway, the gateways of other zones.
	 */
	readonly neededNames?: () => readonly string[];
	/** Heartbeat interval, by default `pingIntervalMs`; must be the same at every entry VM. */
	readonly pingMs?: Ms;
	readonly fastPing?: FastPing;
	readonly onUp: (link: Link) => void;
	readonly onMessage: (link: Link, message: LinkMessage, time: LinkTime | undefined) => void;
	readonly onClosed: (link: Link) => void;
	readonly onDropped: (link: Link, cause: LinkMessageType) => void;
}

/** Dialling state of a needed link that is missing. `lastReceivedMs` is the time of the last frame on the lost link. */
type Dial = {missingSinceMs: Ms; attempt: number; dueMs: Ms; link: Link | undefined; lastReceivedMs?: Ms};

/**
 * Dials, replaces and closes the links of an entry VM: one to each peer of its zone and, at a gateway, one to each
 * gateway of other zones.
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
	#refusalLoggedMs = -Infinity;
	#cancelTick: () => void = () => undefined;
	#isClosed = false;
	#key: LinkKey;

	private constructor(private readonly options: PeerLinksOptions) {
		this.#key = options.key;
		this.#startedMs = options.clock.now();
		this.#lastTickMs = this.#startedMs;
	}

	start(): void {
		this.#tick();
	}

	/** Returns the authenticated links. */
	up(): readonly Link[] {
		return [...this.#links.values()];
	}

	byName(name: string): Link | undefined {
		return this.#links.get(name);
	}

	byIncarnation(incarnation: string): Link | undefined {
		return this.up().find(link => link.peer.incarnation === incarnation);
	}

	/**
	 * Returns the time since the last frame from a peer, in ms, on its link or on the lost link that is being replaced;
	 * `undefined` without either.
	 */
	sinceLastFrameMs(name: string): Ms | undefined {
		const lastReceivedMs = this.#links.get(name)?.lastReceivedMs ?? this.#dials.get(name)?.lastReceivedMs;
		return lastReceivedMs === undefined ? undefined : this.options.clock.now() - lastReceivedMs;
	}

	/** Returns for how long a needed link has been missing, in ms; 0 while it exists or is not needed. */
	linkMissingMs(name: string): Ms {
		const dial = this.#dials.get(name);
		return dial && !this.#links.has(name) ? this.options.clock.now() - dial.missingSinceMs : 0;
	}

	/** Whether a member is linked, or may be soon: no attempt has failed, and the link has not been missing for longer than `answerMs`. */
	isLinkedOrExpected(name: string): boolean {
		const dial = this.#dials.get(name);
		return this.#links.has(name) || !dial || ((dial.attempt === 0 || (dial.attempt === 1 && dial.link !== undefined)) && this.linkMissingMs(name) < answerMs);
	}

	/** Dials needed members that are not linked now, instead of at the next heartbeat; waits between failed tries still apply. */
	dialNeeded(): void {
		this.#dialDue(this.options.clock.now());
	}

	/** Replaces the key for links to be made; those that exist go on. */
	setKey(key: LinkKey): void {
		this.#key = key;
	}

	/** Accepts an incoming connection. */
	accept(socket: LinkSocket): Link {
		return this.#createLink(socket, 'server');
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

	get #tickMs(): Ms {
		return this.options.fastPing?.intervalMs ?? this.#pingMs;
	}

	#tick(): void {
		const {clock} = this.options;
		const now = clock.now();
		// Without the next tick, no link would have heartbeats any more.
		this.#cancelTick = clock.after(this.#tickMs, () => {
			this.#tick();
		});
		const isLate = now - this.#lastTickMs > 2 * this.#tickMs;
		this.#lastTickMs = now;
		for (const link of this.#links.values()) {
			link.tick(isLate);
		}

		this.#closeUnneeded(now);
		this.#dialDue(now);
	}

	/** Returns the members that this entry VM needs a link to. Members of unknown zone are dialled to learn their zone. */
	#neededMembers(): Member[] {
		const {membership, self, neededNames} = this.options;
		if (neededNames) {
			return neededNames().flatMap(name => membership.get(name) ?? []);
		}

		const {isGateway} = membership;
		const remote = new Set(isGateway ? membership.otherZones().flatMap(zone => membership.gateways(zone)) : []);
		return membership.members().filter(member => member.zone === undefined || member.zone === self.zone || remote.has(member.name));
	}

	#dialDue(now: Ms): void {
		const needed = new Map(this.#neededMembers().map(member => [member.name, member]));
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
					missingSinceMs: now, attempt: 0, dueMs: now, link: undefined,
				};
				this.#dials.set(member.name, dial);
			}

			const isDialler = this.options.neededNames !== undefined || this.options.self.name < member.name || now - this.#startedMs < startupDialMs || now - dial.missingSinceMs >= fallbackDialDelayMs;
			if (isDialler && !dial.link && now >= dial.dueMs) {
				this.#dial(member.name, member.address, dial);
			}
		}
	}

	#dial(name: string, address: ListenAddress, dial: Dial): void {
		dial.dueMs = this.options.clock.now() + backoffMs(dial.attempt, this.options.random);
		dial.attempt++;
		dial.link = this.#createLink(this.options.connect(address), 'client', name);
	}

	#createLink(socket: LinkSocket, role: 'client' | 'server', expectedName?: string): Link {
		const {self, clock, metrics, distanceTo, fastPing, onMessage, onDropped} = this.options;
		const link = Link.create({
			socket,
			role,
			key: this.#key,
			self,
			clock,
			metrics,
			distanceTo,
			onMessage,
			onDropped,
			pingMs: this.#pingMs,
			...(fastPing ? {fastPing} : {}),
			...(expectedName === undefined ? {} : {expectedName}),
			onUp: () => {
				this.#linkUp(link);
			},
			onClosed: (_link, reason, detail) => {
				this.#linkClosed(link, expectedName, reason, detail);
			},
		});
		this.#pending.add(link);
		return link;
	}

	#linkUp(link: Link): void {
		const {self, membership, events, logger, onUp} = this.options;
		const {peer} = link;
		if (peer.name === self.name) {
			link.close('wrong_name', 'the peer has the same name as this entry VM');
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
		membership.linkEstablished(peer);
		events.record({kind: 'link_state', target: peer.name, detail: `up, incarnation ${peer.incarnation}`});
		logger.info('Established a link.', {peer: peer.name, zone: peer.zone, role: link.role});
		onUp(link);
	}

	/** True for the link that both ends keep when they dialled each other at once: the one dialled by the smaller name. */
	#isPreferred(link: Link): boolean {
		return (this.options.self.name < link.peer.name) === (link.role === 'client');
	}

	#linkClosed(link: Link, expectedName: string | undefined, reason: LinkCloseReason, detail: string): void {
		this.#pending.delete(link);
		const dial = expectedName === undefined ? undefined : this.#dials.get(expectedName);
		if (dial?.link === link) {
			dial.link = undefined;
		}

		if (expectedName === undefined) {
			this.#logRefusal(reason, detail);
		} else if (dial && !this.#links.has(expectedName)) {
			this.options.membership.linkLost(expectedName);
			if (reason === 'bad_handshake' || reason === 'unknown_version' || reason === 'wrong_name') {
				this.options.logger.warn('Cannot establish a link.', {peer: expectedName, reason, detail});
			}
		}

		const name = [...this.#links].find(([, other]) => other === link)?.[0];
		if (name !== undefined) {
			this.#linkLost(name, link, reason, detail);
		}
	}

	#linkLost(name: string, link: Link, reason: LinkCloseReason, detail: string): void {
		const {membership, events, logger, onClosed} = this.options;
		this.#links.delete(name);
		events.record({kind: 'link_state', target: name, detail: `${reason}${detail === '' ? '' : `: ${detail}`}`});
		if (reason !== 'shutdown') {
			logger.warn('Lost a link.', {peer: name, reason, detail});
		}

		if (reason !== 'not_needed') {
			membership.linkLost(name);
		}

		// Before the listener, which may dial the members that are needed instead.
		if (!this.#isClosed && reason !== 'not_needed') {
			this.#redial(name, link.lastReceivedMs);
		}

		onClosed(link);
	}

	/** Dials a lost link again after a back-off delay, without waiting for the next tick. */
	#redial(name: string, lastReceivedMs: Ms): void {
		const {clock, random} = this.options;
		const now = clock.now();
		const delay = backoffMs(0, random);
		this.#dials.set(name, {
			missingSinceMs: now, attempt: 1, dueMs: now + delay, link: undefined, lastReceivedMs,
		});
		clock.after(delay, () => {
			this.#dialDue(clock.now());
		});
	}

	#closeUnneeded(now: Ms): void {
		const needed = new Set(this.#neededMembers().map(member => member.name));
		for (const [name, link] of this.#links) {
			// Only the end that dialled closes a link, since only it knows why the link was needed. With `neededNames`, a link in
			// use stays open, since the other end may need it.
			if (needed.has(name) || link.role === 'server' || (this.options.neededNames && now - link.lastUsedMs < unneededGraceMs)) {
				this.#unneededSince.delete(name);
				continue;
			}

			const since = this.#unneededSince.get(name) ?? now;
			this.#unneededSince.set(name, since);
			if (now - since >= unneededGraceMs) {
				this.#unneededSince.delete(name);
				link.close('not_needed');
			}
		}
	}

	#logRefusal(reason: LinkCloseReason, detail: string): void {
		const {clock, logger} = this.options;
		const isRefusal = reason === 'bad_handshake' || reason === 'unknown_version' || reason === 'handshake_timeout' || reason === 'evicted';
		if (isRefusal && (reason === 'unknown_version' || clock.now() - this.#refusalLoggedMs >= refusalLogIntervalMs)) {
			this.#refusalLoggedMs = clock.now();
			logger.warn('Refused a connection.', {reason, detail});
		}
	}
}
