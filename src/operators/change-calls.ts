import {Code, ConnectError} from '@connectrpc/connect';
import type {MessageInitShape} from '@bufbuild/protobuf';
import {
	checkChange, declarationKey, planChange, type ApplyResult,
} from '../config/index.js';
import {
	PlanStep_Action, type ApplyRequest, type ApplyResponseSchema, type GetRequest, type GetResponseSchema, type PlanRequest, type PlanResponseSchema,
} from '../gen/guavamill/v1/operator_pb.js';
import type {OperatorParts} from './operator-parts.js';
import {parseDeclarations, toRpcFinding} from './rpc-declarations.js';

const maxIdLength = 128;
const actions = {create: PlanStep_Action.CREATE, change: PlanStep_Action.CHANGE, remove: PlanStep_Action.REMOVE} as const;

/** Serves Apply. @internal */
export async function apply(parts: OperatorParts, req: ApplyRequest): Promise<MessageInitShape<typeof ApplyResponseSchema>> {
	if (req.changeId === '' || req.changeId.length > maxIdLength) {
		throw new ConnectError(`Cannot apply the change: change_id must have 1 to ${maxIdLength} characters`, Code.InvalidArgument);
	}

	if (req.set.length === 0 && req.remove.length === 0) {
		throw new ConnectError('Cannot apply the change: it sets and removes nothing', Code.InvalidArgument);
	}

	const {declarations, findings} = parseDeclarations(req.set);
	if (findings.length > 0) {
		return toResponse({type: 'invalid', findings});
	}

	const result = await parts.writer.apply({
		changeId: req.changeId, base: Number(req.baseRevision), author: req.author, set: declarations, remove: req.remove,
	});
	parts.logger.info('Answered a change.', {
		changeId: req.changeId, author: req.author, base: Number(req.baseRevision), result: result.type,
	});
	return toResponse(result);
}

function toResponse(result: ApplyResult): MessageInitShape<typeof ApplyResponseSchema> {
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

/** Serves Plan. @internal */
export function plan(parts: OperatorParts, req: PlanRequest): MessageInitShape<typeof PlanResponseSchema> {
	const {revision, declarations: current} = parts.config.current();
	const {declarations, findings} = parseDeclarations(req.set);
	const kept = new Set<string>(declarations.map(declaration => declarationKey(declaration)));
	const pruned = req.prune && findings.length === 0 ? [...current.byKey.keys()].filter(key => !kept.has(key)) : [];
	const change = {set: declarations, remove: [...new Set([...req.remove, ...pruned])]};
	return {
		revision: BigInt(revision),
		steps: planChange(current, change).map(step => ({action: actions[step.action], key: step.key, fields: [...step.fields]})),
		findings: [...findings, ...checkChange(current, change)].map(finding => toRpcFinding(finding)),
	};
}

/** Serves Get. @internal */
export function get(parts: OperatorParts, req: GetRequest): MessageInitShape<typeof GetResponseSchema> {
	const {revision, offset, declarations} = parts.config.current();
	const byKey = new Map<string, unknown>(declarations.byKey);
	const keys = req.keys.length === 0 ? [...byKey.keys()] : req.keys;
	return {
		revision: BigInt(revision),
		offset: BigInt(offset),
		declarations: keys.filter(key => byKey.has(key)).map(key => byKey.get(key) as Record<string, string>),
		missing: keys.filter(key => !byKey.has(key)),
	};
}
