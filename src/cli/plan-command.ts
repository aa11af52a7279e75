import {create, toJsonString} from '@bufbuild/protobuf';
import {PlanResponseSchema, PlanStep_Action, type PlanStep} from '../gen/guavamill/v1/operator_pb.js';
import {formatDeclarationFinding} from '../config/index.js';
import {resolveSettings} from '../settings/index.js';
import {changeSettings, parseRemovedKeys} from './change-settings.js';
import {exitCodes, printLines, type Command} from './command.js';
import {createOperatorClient} from './operator-client.js';
import {
	formatRpcFinding, hasErrors, loadChange, toJsonDeclarations, toRpcFindings,
} from './read-declarations.js';

const actionSymbols: Record<PlanStep_Action, string> = {
	[PlanStep_Action.UNSPECIFIED]: '?', [PlanStep_Action.CREATE]: '+', [PlanStep_Action.CHANGE]: '~', [PlanStep_Action.REMOVE]: '-',
};

/** `guavamill plan`: prints the effects of a change without applying it. */
export const planCommand: Command = {
	name: 'plan',
	usage: 'guavamill plan examples/die-works --vm http://127.0.0.1:7001',
	summary: 'Compares declaration files with the configuration in force. Exit code 1 when a finding is an error.',
	settings: changeSettings,
	maxArgs: Number.POSITIVE_INFINITY,
	async run(input) {
		const settings = resolveSettings(changeSettings, input);
		const remove = parseRemovedKeys(settings.remove);
		const loaded = await loadChange(input.args, {isComplete: settings.prune, remove});
		if (!settings.json) {
			printLines(input, loaded.findings.map(finding => formatDeclarationFinding(finding)));
		}

		if (hasErrors(loaded)) {
			if (settings.json) {
				input.print(toJsonString(PlanResponseSchema, create(PlanResponseSchema, {findings: toRpcFindings(loaded)}), {alwaysEmitImplicit: true}));
			}

			return exitCodes.failed;
		}

		const plan = await createOperatorClient(settings).plan({set: toJsonDeclarations(loaded), remove, prune: settings.prune});
		const lines = settings.json
			? [toJsonString(PlanResponseSchema, plan, {alwaysEmitImplicit: true})]
			: [...plan.steps.map(step => formatStep(step)), ...plan.findings.map(finding => formatRpcFinding(finding)), `${plan.steps.length} steps on revision ${plan.revision}`];
		printLines(input, lines);

		return plan.findings.some(finding => formatRpcFinding(finding).startsWith('error')) ? exitCodes.failed : exitCodes.ok;
	},
};

function formatStep(step: PlanStep): string {
	return `${actionSymbols[step.action]} ${step.key} ${step.fields.join(', ')}`.trimEnd();
}
