import {toJsonString} from '@bufbuild/protobuf';
import {StatusResponseSchema} from '../gen/guavamill/v1/operator_pb.js';
import {resolveSettings} from '../settings/index.js';
import {exitCodes, printLines, type Command} from './command.js';
import {formatStatus} from './format-status.js';
import {createOperatorClient, operatorSettings} from './operator-client.js';

/** `guavamill status`: prints the state of one entry VM. */
export const statusCommand: Command = {
	name: 'status',
	usage: 'guavamill status --vm http://127.0.0.1:7001',
	summary: 'Prints the state of an entry VM and its view of the others. Exit code 1 when the state of a component is older than 4 s.',
	settings: operatorSettings,
	maxArgs: 0,
	async run(input) {
		const settings = resolveSettings(operatorSettings, input);
		const status = await createOperatorClient(settings).status({});
		printLines(input, settings.json ? [toJsonString(StatusResponseSchema, status, {alwaysEmitImplicit: true})] : formatStatus(status, Date.now()));

		return status.stale.length === 0 ? exitCodes.ok : exitCodes.failed;
	},
};
