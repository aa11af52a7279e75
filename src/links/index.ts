export {getOrCreateLinkKey, type LinkKeyStore} from './get-or-create-link-key.js';
export {digestIntervalMs, type DigestSource} from './digest-exchange.js';
export type {DrainingListener, DrainingNotifier} from './draining-gossip.js';
export {LinkError, type LinkCloseReason} from './link-error.js';
export type {LinkDistance} from './link-metrics.js';
export type {LinkIdentity} from './link-identity.js';
export {LinkKey, minLinkKeyBytes} from './link-key.js';
export {LinkMesh, type LinkMeshOptions, type LinkSettings} from './link-mesh.js';
export {linkLimits, maxLimitHops, type LinkMessage} from './link-message.js';
export {pingIntervalMs, silenceTimeoutMs, type Link} from './link.js';
export {
	gatewaysPerZone, Membership, type Member, type PeerAddress,
} from './membership.js';
export type {MemberState} from './member-lifecycle.js';
export {RankCache} from './rank-cache.js';
export {RelayMesh, type RelayMeshOptions} from './relay-mesh.js';
export {rankByRendezvous} from './rendezvous.js';
export {passOn} from './pass-on.js';
export {PendingReplies} from './pending-replies.js';
export type {PeerState} from './peer-state.js';
