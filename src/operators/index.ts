export {createOperatorHandler} from './operator-handler.js';
export {toRpcFinding, type RpcFinding} from './rpc-declarations.js';
export type {
	OperatorParts, PeerStatusSource, VmFacts,
} from './operator-parts.js';
