import {randomUUID} from 'node:crypto';
import {create, toJsonString} from '@bufbuild/protobuf';
import {
	ApplyResponseSchema, PlanStep_Action, type ApplyResponse, type PlanResponse,
} from '../gen/guavamill/v1/operator_pb.js';
import {formatDeclarationFinding} from '../config/index.js';
import {errorMessage, FindingsError} from '../errors/index.js';
import {resolveSettings, textSchema} from '../settings/index.js';
import {changeSettings, parseRemovedKeys} from './change-settings.js';
import {exitCodes, printLines, type Command} from './command.js';
import {createOperatorClient} from './operator-client.js';
import {
	formatRpcFinding, hasErrors, loadChange, toJsonDeclarations, toRpcFindings,
} from './read-declarations.js';

const applySettings = {
	...changeSettings,
	author: {
		flag: 'author', help: 'Author of the change.', fallback: '', schema: textSchema,
	},
	base: {
		flag: 'base', help: 'Revision that the change is based on; the revision in force when empty.', fallback: '', schema: textSchema,
	},
	changeId: {
		flag: 'change-id', help: 'Id of the change; repeat the id of an earlier change to settle its unknown result. Random when empty.', fallback: '', schema: textSchema,
	},
};

/** `guavamill apply`: applies declaration files. */
export const applyCommand: Command = {
	name: 'apply',
	usage: 'guavamill apply examples/die-works --vm http://127.0.0.1:7001 --author liga',
	summary: 'Applies declaration files. Exit code 1 unless the change was accepted.',
	settings: applySettings,
	maxArgs: Number.POSITIVE_INFINITY,
	async run(input) {
		const settings = resolveSettings(applySettings, input);
		const requestedBase = parseBaseRevision(settings.base);
		const remove = parseRemovedKeys(settings.remove);
		const loaded = await loadChange(input.args, {isComplete: settings.prune, remove});
		if (!settings.json) {
			printLines(input, loaded.findings.map(finding => formatDeclarationFinding(finding)));
		}

		if (hasErrors(loaded)) {
			if (settings.json) {
				input.print(toJson(create(ApplyResponseSchema, {result: {case: 'invalid', value: {findings: toRpcFindings(loaded)}}})));
			}

			return exitCodes.failed;
		}

		const client = createOperatorClient(settings);
		const set = toJsonDeclarations(loaded);
		const changeId = settings.changeId === '' ? randomUUID() : settings.changeId;
		const plan = await client.plan({set, remove, prune: settings.prune});
		if (plan.steps.length === 0 && settings.changeId === '') {
			input.print(settings.json ? '{}' : `No change: revision ${plan.revision} holds these declarations.`);
			return exitCodes.ok;
		}

		const base = requestedBase ?? plan.revision;
		const response = await client.apply({
			baseRevision: base, set, remove: keysToRemove(plan), author: settings.author, changeId,
		}).catch((err: unknown) => create(ApplyResponseSchema, {result: {case: 'unknown', value: {message: errorMessage(err)}}}));
		printLines(input, settings.json ? [toJson(addRetryHint(response, {changeId, base}))] : formatResponse(addRetryHint(response, {changeId, base})));
		return response.result.case === 'accepted' ? exitCodes.ok : exitCodes.failed;
	},
};

function parseBaseRevision(text: string): bigint | undefined {
	if (text === '') {
		return undefined;
	}

	if (!/^-?\d{1,15}$/.test(text)) {
		throw FindingsError.create('use the settings', [{place: '--base', message: 'is not a revision', value: text}]);
	}

	return BigInt(text);
}

function keysToRemove(plan: PlanResponse): string[] {
	return plan.steps.filter(step => step.action === PlanStep_Action.REMOVE).map(step => step.key);
}

/** Adds the change id and base revision to an unknown result: without them the operator could not settle it. */
function addRetryHint(response: ApplyResponse, {changeId, base}: {changeId: string; base: bigint}): ApplyResponse {
	return response.result.case === 'unknown'
		? create(ApplyResponseSchema, {result: {case: 'unknown', value: {message: `${response.result.value.message}. Settle it with the same files and --change-id ${changeId} --base ${base}.`}}})
		: response;
}

function toJson(response: ApplyResponse): string {
	return toJsonString(ApplyResponseSchema, response, {alwaysEmitImplicit: true});
}

function formatResponse(response: ApplyResponse): string[] {
	const {result} = response;
	switch (result.case) {
		case 'accepted': {
			return [`Accepted as revision ${result.value.revision}.`];
		}

		case 'conflict': {
			return [`Conflict: revision ${result.value.currentRevision} is in force. Plan again and apply on it.`];
		}

		case 'invalid': {
			return ['Invalid:', ...result.value.findings.map(finding => formatRpcFinding(finding))];
		}

		case 'unavailable': {
			return [result.value.message];
		}

		default: {
			return [result.value?.message ?? 'Cannot read the response: it has no result'];
		}
	}
}
