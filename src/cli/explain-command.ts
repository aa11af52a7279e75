import {readFileSync} from 'node:fs';
import {errorMessage, FindingsError, type Finding} from '../errors/index.js';
import {explainRequest} from '../logging/index.js';
import {booleanSchema, resolveSettings} from '../settings/index.js';
import {exitCodes, printLines, type Command} from './command.js';

const minArgs = 2;

const explainSettings = {
	json: {
		flag: 'json', help: 'Prints the lines as JSON.', fallback: 'false', schema: booleanSchema, isBoolean: true,
	},
};

/** `guavamill explain`: prints the log lines about one request, ordered by time. */
export const explainCommand: Command = {
	name: 'explain',
	usage: 'guavamill explain 6f0c21d38a7be945 riga-1.log riga-2.log',
	summary: 'Prints the decisions on one request from the log files of several entry VMs, ordered by time.',
	settings: explainSettings,
	maxArgs: 1000,
	async run(input) {
		const {json} = resolveSettings(explainSettings, input);
		const [id, ...files] = input.args;
		if (input.args.length < minArgs) {
			throw FindingsError.create('explain a request', [{place: 'arguments', message: 'specify a request id and at least one log file'}]);
		}

		const findings: Finding[] = [];
		const lines = files.flatMap(file => {
			try {
				return readFileSync(file, 'utf8').split('\n');
			} catch (err) {
				findings.push({place: file, message: errorMessage(err)});
				return [];
			}
		});
		if (findings.length > 0) {
			throw FindingsError.create('read the log files', findings);
		}

		const explainedLines = explainRequest(id!, lines, {json});
		printLines(input, explainedLines.length > 0 ? explainedLines : [`No log line mentions ${id}.`]);
		return explainedLines.length > 0 ? exitCodes.ok : exitCodes.failed;
	},
};
