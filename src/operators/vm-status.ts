import type {MessageInitShape} from '@bufbuild/protobuf';
import type {Ms} from '../clock/index.js';
import type {StatusResponseSchema, ZoneStatusSchema} from '../gen/guavamill/v1/operator_pb.js';
import type {PeerState} from '../links/index.js';
import type {OperatorParts} from './operator-parts.js';

/** Bound within which a change is in force everywhere (invariant 7); older knowledge counts as stale. */
const staleBoundMs: Ms = 4000;

/** Serves Status. @internal */
export function status(parts: OperatorParts): MessageInitShape<typeof StatusResponseSchema> {
	const {config, claims, lease, vmList} = parts;
	const vm = parts.vm();
	const {revision, offset} = config.current();
	const peers = parts.peerStatus?.() ?? [];
	return {
		name: vm.name,
		zone: vm.zone,
		incarnation: vm.incarnation,
		state: vm.state,
		configState: config.state,
		revision: BigInt(revision),
		offset: BigInt(offset),
		logUnreachableMs: config.unreachableMs,
		logReachableMs: config.reachableMs,
		...(config.ageMs === undefined ? {} : {configAgeMs: config.ageMs}),
		targets: {...parts.targetCounts()},
		requestsInProgress: vm.inFlight,
		peers: peers.map(({lastHeardMs, ...peer}) => ({...peer, offset: BigInt(peer.offset), ...(lastHeardMs === undefined ? {} : {lastHeardMs})})),
		vmList: {
			reachable: vmList.reachable, sinceMs: vmList.sinceMs, vms: vmList.last?.vms.length ?? 0, ...(vmList.ageMs === undefined ? {} : {ageMs: vmList.ageMs}),
		},
		claims: {state: claims.state, ...(Number.isFinite(claims.ageMs) ? {ageMs: claims.ageMs} : {})},
		lease: {state: lease.state, ...(lease.fencing === undefined ? {} : {fencing: BigInt(lease.fencing)})},
		zones: zonesOf(parts, peers),
		stale: staleParts(parts, peers),
		staleBoundMs,
	};
}

/** A part that was never read is stale. A peer is stale when a needed link is silent or missing. */
function staleParts({config, claims, vmList}: OperatorParts, peers: readonly PeerState[]): string[] {
	const isOld = (ageMs: Ms | undefined) => ageMs === undefined || ageMs > staleBoundMs;
	return [
		...(isOld(config.ageMs) ? ['config'] : []),
		...(isOld(config.unreachableMs) ? ['log'] : []),
		...(isOld(vmList.ageMs === undefined ? undefined : vmList.ageMs - vmList.extraIntervalMs) ? ['vm_list'] : []),
		...(isOld(claims.ageMs) ? ['claims'] : []),
		...peers.filter(peer => isOld(peer.linkMissingMs) || (peer.linked && isOld(peer.lastHeardMs))).map(peer => `peer/${peer.name}`),
	];
}

function zonesOf({config, vm}: OperatorParts, peers: readonly PeerState[]): Array<MessageInitShape<typeof ZoneStatusSchema>> {
	const {zone: own} = vm();
	const declared = [...config.current().declarations.byKey.values()].filter(({kind}) => kind === 'zone').map(({name}) => name);
	const names = new Set([own, ...[...declared, ...peers.map(peer => peer.zone)].filter(name => name !== '').toSorted()]);
	return [...names].map(name => {
		const members = peers.filter(peer => peer.zone === name);
		const heard = members.flatMap(peer => peer.lastHeardMs ?? []);
		const counts: Record<string, number> = {};
		for (const {state} of members) {
			counts[state] = (counts[state] ?? 0) + 1;
		}

		return {
			name, own: name === own, peers: counts, links: members.filter(peer => peer.linked).length, ...(heard.length === 0 ? {} : {lastHeardMs: Math.min(...heard)}),
		};
	});
}
