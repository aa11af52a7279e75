import type {MessageInitShape} from '@bufbuild/protobuf';
import type {Ms} from '../clock/index.js';
import type {StatusResponseSchema, ZoneStatusSchema} from '../gen/guavamill/v1/operator_pb.js';
import type {PeerState} from '../links/index.js';
import type {OperatorDependencies} from './operator-dependencies.js';

/** A configuration change takes effect on all entry VMs within this time (invariant 7); older state counts as stale. */
const staleBoundMs: Ms = 4000;

/** Handles Status. @internal */
export function status(dependencies: OperatorDependencies): MessageInitShape<typeof StatusResponseSchema> {
	const {config, claims, lease, vmList} = dependencies;
	const vm = dependencies.vm();
	const {revision, offset} = config.current();
	const peers = dependencies.peerStatus?.() ?? [];
	return {
		name: vm.name,
		zone: vm.zone,
		incarnation: vm.incarnation,
		state: vm.state,
		configState: config.state,
		revision: BigInt(revision),
		offset: BigInt(offset),
		logUnreachableMs: config.logUnreachableMs,
		logReachableMs: config.logReachableMs,
		...(config.ageMs === undefined ? {} : {configAgeMs: config.ageMs}),
		targets: {...dependencies.targetCounts()},
		requestsInProgress: vm.inFlight,
		peers: peers.map(({lastHeardMs, ...peer}) => ({...peer, offset: BigInt(peer.offset), ...(lastHeardMs === undefined ? {} : {lastHeardMs})})),
		vmList: {
			reachable: vmList.reachable, sinceMs: vmList.sinceMs, vms: vmList.lastSnapshot?.vms.length ?? 0, ...(vmList.ageMs === undefined ? {} : {ageMs: vmList.ageMs}),
		},
		claims: {state: claims.state, ...(Number.isFinite(claims.ageMs) ? {ageMs: claims.ageMs} : {})},
		lease: {state: lease.state, ...(lease.fencing === undefined ? {} : {fencing: BigInt(lease.fencing)})},
		zones: zoneStatuses(dependencies, peers),
		stale: staleComponents(dependencies, peers),
		staleBoundMs,
	};
}

/**
 * Returns the names of the stale components. A component that was never read is stale. A peer is stale when a needed
 * link has been missing, or an existing link has received no frame, for longer than the bound.
 */
function staleComponents({config, claims, vmList}: OperatorDependencies, peers: readonly PeerState[]): string[] {
	const isStale = (ageMs: Ms | undefined) => ageMs === undefined || ageMs > staleBoundMs;
	return [
		...(isStale(config.ageMs) ? ['config'] : []),
		...(isStale(config.logUnreachableMs) ? ['log'] : []),
		...(isStale(vmList.ageMs === undefined ? undefined : vmList.ageMs - vmList.extraIntervalMs) ? ['vm_list'] : []),
		...(isStale(claims.ageMs) ? ['claims'] : []),
		...peers.filter(peer => isStale(peer.linkMissingMs) || (peer.linked && isStale(peer.lastHeardMs))).map(peer => `peer/${peer.name}`),
	];
}

function zoneStatuses({config, vm}: OperatorDependencies, peers: readonly PeerState[]): Array<MessageInitShape<typeof ZoneStatusSchema>> {
	const {zone: ownZone} = vm();
	const declared = [...config.current().declarations.byKey.values()].filter(({kind}) => kind === 'zone').map(({name}) => name);
	const names = new Set([ownZone, ...[...declared, ...peers.map(peer => peer.zone)].filter(name => name !== '').toSorted()]);
	return [...names].map(name => {
		const members = peers.filter(peer => peer.zone === name);
		const lastHeardTimes = members.flatMap(peer => peer.lastHeardMs ?? []);
		const counts: Record<string, number> = {};
		for (const {state} of members) {
			counts[state] = (counts[state] ?? 0) + 1;
		}

		return {
			name, own: name === ownZone, peers: counts, links: members.filter(peer => peer.linked).length, ...(lastHeardTimes.length === 0 ? {} : {lastHeardMs: Math.min(...lastHeardTimes)}),
		};
	});
}
