import type {Ms} from '../clock/index.js';
import type {PeerStatus, StatusResponse, ZoneStatus} from '../gen/guavamill/v1/operator_pb.js';

/**
 * Formats the status of an entry VM as text. `nowMs` is the wall-clock time in ms since 1970, from which the start times
 * of the states are calculated.
 *
 * @internal
 */
export function formatStatus(status: StatusResponse, nowMs: Ms): string[] {
	const {vmList, claims, lease} = status;
	const since = (ms: Ms) => `for ${formatDuration(ms)}, since ${new Date(nowMs - ms).toISOString().slice(11, 19)}`;
	const log = status.logUnreachableMs > 0 ? `no answer ${since(status.logUnreachableMs)}` : `reachable ${since(status.logReachableMs)}`;
	const list = vmList && `${vmList.reachable ? 'reachable' : 'no answer'} ${since(vmList.sinceMs)}; ${vmList.vms} VMs, ${formatAge('read', vmList.ageMs)}`;
	const stale = status.stale.length === 0 ? `nothing older than ${formatDuration(status.staleBoundMs)}` : `${status.stale.join(', ')} older than ${formatDuration(status.staleBoundMs)}`;
	return [
		['entry VM', `${status.name} in ${status.zone}, ${status.state}, incarnation ${status.incarnation}`],
		['config', `revision ${status.revision}, offset ${status.offset}, ${status.configState}, ${formatAge('known as of', status.configAgeMs)}`],
		['log', log],
		['VM list', list ?? 'not reported'],
		['claims', claims ? `${claims.state}, ${formatAge('read to the end', claims.ageMs)}` : 'not reported'],
		['lease', lease ? `${lease.state}${lease.fencing === undefined ? '' : `, fencing ${lease.fencing}`}` : 'not reported'],
		['targets', formatCounts(status.targets) || 'none'],
		['requests', `${status.requestsInProgress} in progress`],
		...status.zones.map(zone => ['zone', formatZone(zone)]),
		...status.peers.map(peer => ['peer', formatPeer(peer, since)]),
		['stale', stale],
	].map(([label, text]) => `${label!.padEnd(9)} ${text}`);
}

function formatZone(zone: ZoneStatus): string {
	const heard = zone.lastHeardMs === undefined ? '' : `, ${formatAge('heard', zone.lastHeardMs)}`;
	return `${zone.name}${zone.own ? ' (own)' : ''}: peers ${formatCounts(zone.peers) || 'none'}, ${zone.links} ${zone.links === 1 ? 'link' : 'links'}${heard}`;
}

function formatPeer(peer: PeerStatus, since: (ms: Ms) => string): string {
	const link = peer.linkMissingMs > 0 ? `, no link ${since(peer.linkMissingMs)}` : (peer.linked ? '' : ', no link needed');
	const heard = peer.lastHeardMs === undefined ? 'not heard' : formatAge('heard', peer.lastHeardMs);
	return `${peer.name} in ${peer.zone || 'an unknown zone'}, ${peer.state}, offset ${peer.offset}${link}, ${heard}`;
}

function formatCounts(byState: Record<string, number>): string {
	return Object.entries(byState).map(([state, count]) => `${count} ${state}`).join(', ');
}

function formatAge(verb: string, ms: Ms | undefined): string {
	return ms === undefined ? 'never read' : `${verb} ${formatDuration(ms)} ago`;
}

function formatDuration(ms: Ms): string {
	return ms < 1000 ? `${Math.round(ms)} ms` : `${(ms / 1000).toFixed(1)} s`;
}
