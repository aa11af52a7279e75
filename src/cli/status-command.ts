import {toJsonString} from '@bufbuild/protobuf';
import {StatusResponseSchema} from '../gen/guavamill/v1/operator_pb.js';
import {resolveSettings} from '../settings/index.js';
import {exitCodes, type Command} from './command.js';
import {createOperatorClient, operatorSettings} from './operator-client.js';

/** `guavamill status`: the state of one entry VM. */
export const statusCommand: Command = {
	name: 'status',
	usage: 'guavamill status --vm http://127.0.0.1:7001',
	summary: 'Prints the state of an entry VM, its configuration and its targets.',
	settings: operatorSettings,
	async run(input) {
		const settings = resolveSettings(operatorSettings, input);
		const status = await createOperatorClient(settings).status({});
		if (settings.json) {
			input.print(toJsonString(StatusResponseSchema, status, {alwaysEmitImplicit: true}));
			return exitCodes.ok;
		}

		const age = status.configAgeMs === undefined ? 'never read' : `known as of ${Math.round(status.configAgeMs)} ms ago`;
		const log = status.logUnreachableMs > 0 ? `no answer for ${Math.round(status.logUnreachableMs)} ms` : 'answers';
		const targets = Object.entries(status.targets).map(([state, count]) => `${count} ${state}`).join(', ');
		for (const line of [
			`entry VM  ${status.name} in ${status.zone}, ${status.state}, incarnation ${status.incarnation}`,
			`config    revision ${status.revision}, offset ${status.offset}, ${status.configState}, ${age}`,
			`log       ${log}`,
			`targets   ${targets === '' ? 'none' : targets}`,
			`requests  ${status.requestsInProgress} in progress`,
			...status.peers.map(peer => `peer      ${peer.name} in ${peer.zone}, ${peer.state}, offset ${peer.offset}`),
		]) {
			input.print(line);
		}

		return exitCodes.ok;
	},
};
