import type {LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import type {RelayMesh} from './relay-mesh.js';

/**
 * Passes news on, to every entry VM of the fleet in the end: a leader to its cell and, unless they come from another
 * cell, to the leaders of other cells; a member to its leader unless they come from a peer. Only what changes something
 * at the receiver may be passed on, so that news do not circulate.
 *
 * @example
 * passOn(mesh, {type: 'target-limit', …}, undefined);
 */
export function passOn(mesh: Pick<RelayMesh, 'leader' | 'isInCell' | 'broadcast' | 'broadcastToLeaders'>, message: LinkMessage, from: Link | undefined): void {
	const leader = mesh.leader();
	if (leader) {
		if (!from) {
			leader.send(message);
		}

		return;
	}

	mesh.broadcast(message);
	if (!from || mesh.isInCell(from.peer.zone)) {
		mesh.broadcastToLeaders(message);
	}
}
