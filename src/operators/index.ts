export {createOperatorHandler} from './operator-handler.js';
export type {
	OperatorParts, PeerState, PeerStatusSource, VmFacts,
} from './operator-parts.js';
