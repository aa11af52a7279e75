import {randomUUID} from 'node:crypto';
import {toJsonString} from '@bufbuild/protobuf';
import {
	ApplyResponseSchema, PlanStep_Action, type ApplyResponse, type PlanResponse,
} from '../gen/guavamill/v1/operator_pb.js';
import {FindingsError} from '../errors/index.js';
import {resolveSettings, textSchema} from '../settings/index.js';
import {changeSettings, removedKeys} from './change-settings.js';
import {exitCodes, type Command} from './command.js';
import {createOperatorClient} from './operator-client.js';
import {formatRpcFinding, loadChange, toSet} from './read-declarations.js';

const applySettings = {
	...changeSettings,
	author: {
		flag: 'author', help: 'Who makes the change.', fallback: '', schema: textSchema,
	},
	base: {
		flag: 'base', help: 'Revision that the change is based on; the one in force when empty.', fallback: '', schema: textSchema,
	},
	changeId: {
		flag: 'change-id', help: 'Id of the change, to settle an earlier unknown result; random when empty.', fallback: '', schema: textSchema,
	},
};

/** `guavamill apply`: applies declaration files. */
export const applyCommand: Command = {
	name: 'apply',
	usage: 'guavamill apply examples/die-works --vm http://127.0.0.1:7001 --author liga',
	summary: 'Applies declaration files. Exit code 1 unless the change was accepted.',
	settings: applySettings,
	async run(input) {
		const settings = resolveSettings(applySettings, input);
		const givenBase = baseRevision(settings.base);
		const loaded = await loadChange(input.args, {isComplete: settings.prune, print: input.print});
		if (!loaded) {
			return exitCodes.failed;
		}

		const client = createOperatorClient(settings);
		const set = toSet(loaded);
		const changeId = settings.changeId === '' ? randomUUID() : settings.changeId;
		const plan = await client.plan({set, remove: removedKeys(settings.remove), prune: settings.prune});
		if (plan.steps.length === 0 && settings.changeId === '') {
			input.print(settings.json ? '{}' : `No change: revision ${plan.revision} holds these declarations.`);
			return exitCodes.ok;
		}

		const base = givenBase ?? plan.revision;
		const answer = await client.apply({
			baseRevision: base, set, remove: keysToRemove(plan), author: settings.author, changeId,
		});
		for (const line of settings.json ? [toJsonString(ApplyResponseSchema, answer, {alwaysEmitImplicit: true})] : formatAnswer(answer, {changeId, base})) {
			input.print(line);
		}

		return answer.result.case === 'accepted' ? exitCodes.ok : exitCodes.failed;
	},
};

function baseRevision(text: string): bigint | undefined {
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

function formatAnswer(answer: ApplyResponse, {changeId, base}: {changeId: string; base: bigint}): string[] {
	const {result} = answer;
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
			return [`${result.value?.message ?? 'Cannot read the answer'}. Settle it with the same files and --change-id ${changeId} --base ${base}.`];
		}
	}
}
