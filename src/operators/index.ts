export {createOperatorHandler} from './operator-handler.js';
export type {
	OperatorParts, PeerStatusSource, VmFacts,
} from './operator-parts.js';
