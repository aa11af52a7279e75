import {toJsonString} from '@bufbuild/protobuf';
import {stringify} from 'yaml';
import {GetResponseSchema} from '../gen/guavamill/v1/operator_pb.js';
import {resolveSettings} from '../settings/index.js';
import {exitCodes, type Command} from './command.js';
import {createOperatorClient, operatorSettings} from './operator-client.js';

/** `guavamill get`: prints the configuration in force. */
export const getCommand: Command = {
	name: 'get',
	usage: 'guavamill get [kind/name …] --vm http://127.0.0.1:7001',
	summary: 'Prints the configuration in force at an entry VM, all of it or by key. Exit code 1 when a key is not declared.',
	settings: operatorSettings,
	maxArgs: Number.POSITIVE_INFINITY,
	async run(input) {
		const settings = resolveSettings(operatorSettings, input);
		const config = await createOperatorClient(settings).get({keys: [...input.args]});
		if (settings.json) {
			input.print(toJsonString(GetResponseSchema, config, {alwaysEmitImplicit: true}));
		} else {
			input.print(`# revision ${config.revision}`);
			input.print(config.declarations.length === 0 ? '' : stringify(config.declarations).trimEnd());
			for (const key of config.missing) {
				input.print(`# ${key} is not declared`);
			}
		}

		return config.missing.length === 0 ? exitCodes.ok : exitCodes.failed;
	},
};
