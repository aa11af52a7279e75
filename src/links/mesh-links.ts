import type {LinkIdentity} from './link-identity.js';
import type {LinkMessage, LinkTime} from './link-message.js';
import type {Link} from './link.js';
import type {Membership} from './membership.js';

/** Access to the links of a mesh for its components. @internal */
export interface MeshLinks {
	readonly self: LinkIdentity;
	readonly membership: Membership;
	/** Returns the authenticated links. */
	up(): readonly Link[];
	byName(name: string): Link | undefined;
	byIncarnation(incarnation: string): Link | undefined;
	/** Advances the hybrid clock and returns its time for an outgoing message; `undefined` without a hybrid clock. */
	time(): LinkTime | undefined;
	/** Sends a message with the time of the hybrid clock; returns false when the link is down or its queue is full. */
	send(link: Link, message: LinkMessage): boolean;
}
