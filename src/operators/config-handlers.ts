import {Code, ConnectError} from '@connectrpc/connect';
import type {MessageInitShape} from '@bufbuild/protobuf';
import {
	checkChange, declarationKey, planChange, type ApplyResult,
} from '../config/index.js';
import {
	PlanStep_Action, type ApplyRequest, type ApplyResponseSchema, type GetRequest, type GetResponseSchema, type PlanRequest, type PlanResponseSchema,
} from '../gen/guavamill/v1/operator_pb.js';
import type {OperatorDependencies} from './operator-dependencies.js';
import {parseDeclarations, toRpcFinding} from './rpc-declarations.js';

const maxChangeIdLength = 128;
const rpcActions = {create: PlanStep_Action.CREATE, change: PlanStep_Action.CHANGE, remove: PlanStep_Action.REMOVE} as const;

/** Handles Apply. @internal */
export async function apply(dependencies: OperatorDependencies, req: ApplyRequest): Promise<MessageInitShape<typeof ApplyResponseSchema>> {
	if (req.changeId === '' || req.changeId.length > maxChangeIdLength) {
		throw new ConnectError(`Cannot apply the change: change_id must have 1 to ${maxChangeIdLength} characters`, Code.InvalidArgument);
	}

	if (req.set.length === 0 && req.remove.length === 0) {
		throw new ConnectError('Cannot apply the change: it sets and removes nothing', Code.InvalidArgument);
	}

	const {declarations, findings} = parseDeclarations(req.set);
	if (findings.length > 0) {
		return toApplyResponse({type: 'invalid', findings});
	}

	const result = await dependencies.writer.apply({
		changeId: req.changeId, base: Number(req.baseRevision), author: req.author, set: declarations, remove: req.remove,
	});
	dependencies.logger.info('Processed a configuration change.', {
		changeId: req.changeId, author: req.author, base: Number(req.baseRevision), result: result.type,
	});
	return toApplyResponse(result);
}

function toApplyResponse(result: ApplyResult): MessageInitShape<typeof ApplyResponseSchema> {
	switch (result.type) {
		case 'accepted': {
			return {result: {case: 'accepted', value: {revision: BigInt(result.revision)}}};
		}

		case 'conflict': {
			return {result: {case: 'conflict', value: {currentRevision: BigInt(result.currentRevision)}}};
		}

		case 'invalid': {
			return {result: {case: 'invalid', value: {findings: result.findings.map(finding => toRpcFinding(finding))}}};
		}

		default: {
			return {result: {case: result.type, value: {message: result.message}}};
		}
	}
}

/** Handles Plan. @internal */
export function plan(dependencies: OperatorDependencies, req: PlanRequest): MessageInitShape<typeof PlanResponseSchema> {
	const {revision, declarations: current} = dependencies.config.current();
	const {declarations, findings} = parseDeclarations(req.set);
	const kept = new Set<string>(declarations.map(declaration => declarationKey(declaration)));
	const pruned = req.prune && findings.length === 0 ? [...current.byKey.keys()].filter(key => !kept.has(key)) : [];
	const change = {set: declarations, remove: [...new Set([...req.remove, ...pruned])]};
	return {
		revision: BigInt(revision),
		steps: planChange(current, change).map(step => ({action: rpcActions[step.action], key: step.key, fields: [...step.fields]})),
		findings: [...findings, ...checkChange(current, change)].map(finding => toRpcFinding(finding)),
	};
}

/** Handles Get. @internal */
export function get(dependencies: OperatorDependencies, req: GetRequest): MessageInitShape<typeof GetResponseSchema> {
	const {revision, offset, declarations} = dependencies.config.current();
	const byKey = new Map<string, unknown>(declarations.byKey);
	const keys = req.keys.length === 0 ? [...byKey.keys()] : req.keys;
	return {
		revision: BigInt(revision),
		offset: BigInt(offset),
		declarations: keys.filter(key => byKey.has(key)).map(key => byKey.get(key) as Record<string, string>),
		missing: keys.filter(key => !byKey.has(key)),
	};
}
