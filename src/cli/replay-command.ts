import {readFile} from 'node:fs/promises';
import {z} from 'zod';
import {SystemClock} from '../clock/index.js';
import {errorMessage, FindingsError} from '../errors/index.js';
import {
	formatReport, parseTrace, replayOverHttp, replayPolicies, replayTrace, type ReplayReport, type Trace,
} from '../replay/index.js';
import {
	booleanSchema, numberSchema, originSchema, resolveSettings,
} from '../settings/index.js';
import {exitCodes, type Command, type CommandInput} from './command.js';

const policyNames = replayPolicies.map(policy => policy.name);

/** Settings of `guavamill replay`. */
export const replaySettings = {
	entryVms: {
		flag: 'entry-vms',
		help: 'Origins of running entry VMs, separated by commas; replays in virtual time when empty.',
		fallback: '',
		schema: z.string().transform(text => text.split(',').filter(origin => origin !== '')).pipe(z.array(originSchema)),
	},
	policy: {
		flag: 'policy', help: `Policy of a replay in virtual time: ${policyNames.join(', ')}.`, fallback: policyNames[0]!, schema: z.enum(policyNames),
	},
	connections: {
		flag: 'connections', help: 'Maximum number of connections per entry VM.', fallback: '256', schema: numberSchema(1, 4096),
	},
	json: {
		flag: 'json', help: 'Prints the report as JSON.', fallback: 'false', schema: booleanSchema, isBoolean: true,
	},
};

/** `guavamill replay`: replays a trace and checks the outcomes that it states. */
export const replayCommand: Command = {
	name: 'replay',
	usage: 'guavamill replay TRACE [--policy fcfs] [--entry-vms http://127.0.0.1:7000] [--json]',
	summary: 'Replays a trace in virtual time or against running entry VMs and prints the report.',
	settings: replaySettings,
	maxArgs: 1,
	async run(input) {
		const settings = resolveSettings(replaySettings, input);
		const report = await runReplay(await readTrace(input), settings, input);
		input.print(settings.json ? JSON.stringify(report) : formatReport(report));
		return report.outcomes.every(check => check.held) ? exitCodes.ok : exitCodes.failed;
	},
};

async function readTrace(input: CommandInput): Promise<Trace> {
	const [file] = input.args;
	if (file === undefined) {
		throw FindingsError.create('replay', [{place: 'argument 1', message: 'is missing; specify a trace file in JSON Lines format'}]);
	}

	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (err) {
		throw FindingsError.create('replay', [{place: 'argument 1', message: errorMessage(err)}]);
	}

	return parseTrace(text);
}

async function runReplay(trace: Trace, settings: {entryVms: string[]; policy: string; connections: number}, input: CommandInput): Promise<ReplayReport> {
	if (settings.entryVms.length === 0) {
		const {report} = await replayTrace(trace, {policy: replayPolicies.find(policy => policy.name === settings.policy)!});
		return report;
	}

	const stop = new AbortController();
	void input.stopRequested.then(() => {
		stop.abort();
	});
	return replayOverHttp(trace, {
		clock: SystemClock.create(), entryVms: settings.entryVms, connections: settings.connections, signal: stop.signal,
	});
}
