import {isIP} from 'node:net';
import type {EventRecorder} from '../events/index.js';
import type {ListenAddress} from '../http/index.js';
import type {VmSnapshot} from '../vms/index.js';
import type {LinkIdentity} from './link-identity.js';
import {MemberLifecycle, type MemberEvent, type MemberState} from './member-lifecycle.js';
import {rankByRendezvous} from './rendezvous.js';

/** Number of gateways in each zone. */
export const gatewaysPerZone = 2;

const maxPort = 65_535;

/** Name and address of a peer from the settings. */
export interface PeerAddress {
	readonly name: string;
	readonly address: ListenAddress;
}

/** Read-only view of one other entry VM of the deployment. */
export interface Member {
	readonly name: string;
	readonly state: MemberState;
	/** Zone from the handshake or the VM list; `undefined` for a configured peer that is not in the list and was never linked. */
	readonly zone: string | undefined;
	/** Incarnation from the latest handshake; `undefined` before the first. */
	readonly incarnation: string | undefined;
	/** Id of the latest start, from the handshake or the VM list; `undefined` before either. */
	readonly startId: string | undefined;
	/** Address to dial; `undefined` for a member known only from a connection that it opened. */
	readonly address: ListenAddress | undefined;
}

type MemberEntry = {
	name: string;
	lifecycle: MemberLifecycle;
	zone: string | undefined;
	incarnation: string | undefined;
	startId: string | undefined;
	address: ListenAddress | undefined;
	isConfigured: boolean;
	isListed: boolean;
};

/**
 * Tracks the other entry VMs of the deployment, from configured peers, the platform's VM list and the state of links.
 *
 * @example
 * const membership = Membership.create({self, peers: [], events});
 * membership.applyList(await vmList.list());
 */
export class Membership {
	static create(options: {self: LinkIdentity; peers: readonly PeerAddress[]; events: EventRecorder}): Membership {
		const membership = new Membership(options.self, options.events);
		for (const peer of options.peers) {
			if (peer.name !== options.self.name) {
				membership.#findOrCreate(peer.name).address = peer.address;
				membership.#findOrCreate(peer.name).isConfigured = true;
			}
		}

		return membership;
	}

	readonly #entries = new Map<string, MemberEntry>();
	#version = 0;
	/** Cached gateways by zone, cleared on each change: they are read several times a second. */
	readonly #gateways = new Map<string, readonly string[]>();

	private constructor(private readonly self: LinkIdentity, private readonly events: EventRecorder) {}

	/** Increases with each change of a member, so that what is derived from the members can be cached. */
	get version(): number {
		return this.#version;
	}

	/** Returns every member that is not gone. */
	members(): readonly Member[] {
		return [...this.#entries.values()].filter(entry => entry.lifecycle.state !== 'gone').map(entry => toMember(entry));
	}

	get(name: string): Member | undefined {
		const entry = this.#entries.get(name);
		return entry && toMember(entry);
	}

	/** Applies a VM list. Must not be called with an empty list when reading fails, so that the last one stays in use. */
	applyList(snapshot: VmSnapshot): void {
		const listed = new Set<string>();
		let isChanged = false;
		for (const vm of snapshot.vms) {
			const address = parseAddress(vm.address);
			if (vm.role !== 'entry' || vm.state !== 'live' || vm.id === this.self.name || !address) {
				continue;
			}

			listed.add(vm.id);
			isChanged ||= !this.#entries.has(vm.id);
			const entry = this.#findOrCreate(vm.id);
			entry.isListed = true;
			entry.zone ??= vm.zone;
			// The list may lag behind and name an earlier start than the handshake of a linked VM did.
			if (entry.lifecycle.state !== 'live' && entry.startId !== vm.startId) {
				entry.startId = vm.startId;
				isChanged = true;
			}

			// A configured address takes precedence over the listed one.
			if (!entry.isConfigured) {
				entry.address = address;
			}

			// The event changes nothing in other states, and a list of a large fleet is applied often.
			if (entry.lifecycle.state === 'gone') {
				this.#sendEvent(entry, {type: 'LISTED'});
			}
		}

		if (isChanged) {
			this.#changed();
		}

		for (const entry of this.#entries.values()) {
			if (!listed.has(entry.name)) {
				entry.isListed = false;
				this.#removeIfUnlisted(entry);
			}
		}
	}

	/** Records an authenticated link to a peer. A changed incarnation means that the VM was replaced. */
	linkEstablished(peer: LinkIdentity): void {
		const entry = this.#findOrCreate(peer.name);
		if (entry.incarnation !== undefined && entry.incarnation !== peer.incarnation) {
			this.#sendEvent(entry, {type: 'REPLACED'});
		}

		entry.zone = peer.zone;
		this.#changed();
		entry.incarnation = peer.incarnation;
		entry.startId = peer.incarnation;
		this.#sendEvent(entry, {type: 'LINKED'});
	}

	/** Records that the link to a member was lost or could not be established. */
	linkLost(name: string): void {
		const entry = this.#entries.get(name);
		if (entry) {
			this.#sendEvent(entry, {type: 'LOST'});
			this.#removeIfUnlisted(entry);
		}
	}

	/** Returns the zones of the members, without the zone of this entry VM. */
	otherZones(): string[] {
		return [...new Set(this.members().map(member => member.zone))].filter(zone => zone !== undefined && zone !== this.self.zone) as string[];
	}

	/**
	 * Returns the gateways of a zone, highest-ranked first. Suspect members rank last instead of being left out, so that
	 * a zone whose members are all unreachable is still dialled. This entry VM takes part in the ranking of its zone.
	 */
	gateways(zone: string): readonly string[] {
		let gateways = this.#gateways.get(zone);
		if (!gateways) {
			gateways = this.#rankGateways(zone);
			this.#gateways.set(zone, gateways);
		}

		return gateways;
	}

	/** True when this entry VM is a gateway, which links its zone to other zones. */
	get isGateway(): boolean {
		return this.gateways(this.self.zone).includes(this.self.name);
	}

	#rankGateways(zone: string): string[] {
		const members = this.members().filter(member => member.zone === zone);
		const suspect = members.filter(member => member.state === 'suspect').map(member => member.name);
		const others = members.filter(member => member.state !== 'suspect').map(member => member.name);
		if (zone === this.self.zone) {
			others.push(this.self.name);
		}

		const key = `gateway ${zone}`;
		return [...rankByRendezvous(key, others), ...rankByRendezvous(key, suspect)].slice(0, gatewaysPerZone);
	}

	#removeIfUnlisted(entry: MemberEntry): void {
		if (!entry.isConfigured && !entry.isListed) {
			this.#sendEvent(entry, {type: 'ABSENT'});
		}
	}

	#findOrCreate(name: string): MemberEntry {
		let entry = this.#entries.get(name);
		if (!entry) {
			entry = {
				name, lifecycle: MemberLifecycle.create(), zone: undefined, incarnation: undefined, startId: undefined, address: undefined, isConfigured: false, isListed: false,
			};
			this.#entries.set(name, entry);
		}

		return entry;
	}

	#sendEvent(entry: MemberEntry, event: MemberEvent): void {
		const before = entry.lifecycle.state;
		entry.lifecycle.send(event);
		if (entry.lifecycle.state !== before) {
			this.#changed();
			this.events.record({kind: 'member_state', target: entry.name, detail: `${before} to ${entry.lifecycle.state}`});
		}

		if (entry.lifecycle.state === 'gone') {
			this.#entries.delete(entry.name);
		}
	}

	#changed(): void {
		this.#version++;
		this.#gateways.clear();
	}
}

function toMember(entry: MemberEntry): Member {
	const {name, zone, incarnation, startId, address} = entry;
	return {
		name, zone, incarnation, startId, address, state: entry.lifecycle.state,
	};
}

/** Returns `undefined` unless connections can be opened to the address: opening one to another address throws. */
function parseAddress(text: string): ListenAddress | undefined {
	const groups = /^(?:\w+:\/\/)?(?<host>[\d.]+|\[[\da-f:.]+]):(?<port>[1-9]\d{0,4})$/i.exec(text)?.groups;
	const host = groups?.host!.replaceAll(/[[\]]/g, '') ?? '';
	const port = Number(groups?.port);
	return isIP(host) !== 0 && port <= maxPort ? {host, port} : undefined;
}
