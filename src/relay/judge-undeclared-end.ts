/**
 * What a target showed of itself after the end of a connection: it replied, another incarnation did, it accepted a
 * connection or kept one open without a reply, it refused connections, or it closed them without a reply.
 */
export type TargetSign = 'replied' | 'replaced' | 'accepted' | 'silent' | 'refused' | 'closed';

/** What is known of a target whose connection has ended in order behind a part of a response without a declared end. */
export interface UndeclaredEnd {
	readonly sign: TargetSign;
	/** Whether the target is draining or its entry is removed, so that it may end behind its last response. */
	readonly isLeaving: boolean;
	/** Whether refused connections say nothing of the target: it refused some while it sent data, or this entry VM is cut off from all. */
	readonly isRefusalExplained: boolean;
	/** Number of other connections to the target that are open some time after the end. */
	readonly openConnections: number;
}

/**
 * Whether an orderly end of a connection is the end of a response. A process that dies ends its connections in order as
 * well, all of them at once, and refuses further ones. A target that is silent has not died: its kernel has just ended the
 * connection, and would refuse others.
 *
 * @example
 * isEndOfResponse({sign: 'refused', isLeaving: false, isRefusalExplained: false, openConnections: 0}); // false
 */
export function isEndOfResponse({sign, isLeaving, isRefusalExplained, openConnections}: UndeclaredEnd): boolean {
	switch (sign) {
		case 'replied':
		case 'accepted': {
			return true;
		}

		case 'replaced': {
			return false;
		}

		default: {
			return isLeaving || openConnections > 0 || (sign !== 'silent' && isRefusalExplained);
		}
	}
}
