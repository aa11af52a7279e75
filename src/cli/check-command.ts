import {readFileSync} from 'node:fs';
import {tsImport} from 'tsx/esm/api';
import {errorMessage, FindingsError} from '../errors/index.js';
import {booleanSchema, resolveSettings, textSchema} from '../settings/index.js';
import {exitCodes, printLines, type Command} from './command.js';
import type {LocatedConfigFinding} from './config-finding.js';

/** Module that knows the platform's format of the configuration; it is not compiled into `dist`. */
const checkerModule = '../../platform/check-config.ts';

const checkSettings = {
	against: {
		flag: 'against', help: 'File with the version in force, whose differences are listed.', fallback: '', schema: textSchema,
	},
	json: {
		flag: 'json', help: 'Prints the findings as JSON.', fallback: 'false', schema: booleanSchema, isBoolean: true,
	},
};

/** `guavamill check`: prints what is wrong with a configuration record before it is sent. */
export const checkCommand: Command = {
	name: 'check',
	usage: 'guavamill check config.json --against current.json',
	summary: 'Checks a configuration record of the platform before it is sent. Exit code 1 with findings, 2 for a file that is not JSON.',
	settings: checkSettings,
	maxArgs: 1,
	async run(input) {
		const {against, json} = resolveSettings(checkSettings, input);
		const [file] = input.args;
		if (file === undefined) {
			throw FindingsError.create('check a configuration', [{place: 'argument 1', message: 'is missing; specify a file'}]);
		}

		const text = readJson(file);
		const againstText = against === '' ? undefined : readJson(against);
		const {checkConfig} = await tsImport(checkerModule, import.meta.url) as {checkConfig: (text: string, against?: string) => readonly LocatedConfigFinding[]};
		const findings = checkConfig(text, againstText);
		printLines(input, json ? [JSON.stringify({findings})] : findings.map(finding => formatFinding(finding)));
		return findings.length === 0 ? exitCodes.ok : exitCodes.failed;
	},
};

/** Returns the text of a JSON file. Throws a `FindingsError` for one that cannot be read or is not JSON. */
function readJson(file: string): string {
	try {
		const text = readFileSync(file, 'utf8');
		JSON.parse(text);
		return text;
	} catch (err) {
		throw FindingsError.create('read the configuration', [{place: file, message: errorMessage(err)}]);
	}
}

function formatFinding({severity, path, line, message}: LocatedConfigFinding): string {
	return `${severity} ${path === '' ? '' : `${path} `}(line ${line}): ${message}`;
}
