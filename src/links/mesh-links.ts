import type {LinkIdentity} from './link-identity.js';
import type {LinkMessage, LinkTime} from './link-message.js';
import type {Link} from './link.js';
import type {Membership} from './membership.js';

/** What the parts of the mesh need of its links. @internal */
export interface MeshLinks {
	readonly self: LinkIdentity;
	readonly membership: Membership;
	up(): readonly Link[];
	byName(name: string): Link | undefined;
	byIncarnation(incarnation: string): Link | undefined;
	/** Time of the hybrid clock for a message to send. */
	time(): LinkTime | undefined;
	/** Sends a message with the time of the hybrid clock; false when it was not taken. */
	send(link: Link, message: LinkMessage): boolean;
}
