export {createOperatorHandler} from './operator-handler.js';
export {toRpcFinding, type RpcFinding} from './rpc-declarations.js';
export type {
	OperatorDependencies, PeerStatusSource, VmInfo,
} from './operator-dependencies.js';
