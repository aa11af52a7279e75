import {toJsonString} from '@bufbuild/protobuf';
import {FindingsError} from '../errors/index.js';
import {DrainResponseSchema} from '../gen/guavamill/v1/operator_pb.js';
import {booleanSchema, resolveSettings, textSchema} from '../settings/index.js';
import {exitCodes, type Command} from './command.js';
import {createOperatorClient, operatorSettings} from './operator-client.js';

const drainSettings = {
	...operatorSettings,
	self: {
		flag: 'self', help: 'Drains the entry VM itself.', fallback: 'false', schema: booleanSchema, isBoolean: true,
	},
	startId: {
		flag: 'start-id', help: 'Start id of the target; the last known one when empty.', fallback: '', schema: textSchema,
	},
	author: {
		flag: 'author', help: 'Name of the operator, recorded with the drain.', fallback: '', schema: textSchema,
	},
};

/** `guavamill drain`: drains a target or an entry VM. */
export const drainCommand: Command = {
	name: 'drain',
	usage: 'guavamill drain engines-1 | --self --vm http://127.0.0.1:7001',
	summary: 'Drains a target, or the entry VM itself with --self.',
	settings: drainSettings,
	maxArgs: 1,
	async run(input) {
		const settings = resolveSettings(drainSettings, input);
		const [target] = input.args;
		if (input.args.length > 1 || settings.self === (target !== undefined)) {
			throw FindingsError.create('drain', [{place: 'arguments', message: 'specify either one target or --self'}]);
		}

		const response = await createOperatorClient(settings).drain({
			subject: target === undefined ? {case: 'entryVm', value: true} : {case: 'target', value: target}, startId: settings.startId, author: settings.author,
		});
		input.print(settings.json ? toJsonString(DrainResponseSchema, response, {alwaysEmitImplicit: true}) : `${target ?? 'The entry VM'} is ${response.state} (${response.startId}).`);
		return exitCodes.ok;
	},
};
