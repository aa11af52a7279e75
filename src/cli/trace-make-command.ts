import {z} from 'zod';
import {
	deploymentNames, formatTrace, makeTrace, traceNames,
} from '../replay/index.js';
import {numberSchema, resolveSettings} from '../settings/index.js';
import {exitCodes, type Command} from './command.js';

/** Settings of `guavamill trace-make`. */
export const traceMakeSettings = {
	trace: {flag: 'trace', help: `Kind of trace: ${traceNames.join(', ')}.`, schema: z.enum(traceNames)},
	deployment: {
		flag: 'deployment', help: `Deployment: ${deploymentNames.join(', ')}.`, fallback: 'die-works', schema: z.enum(deploymentNames),
	},
	seed: {
		flag: 'seed', help: 'Seed for the random arrivals and prompts.', fallback: '1', schema: numberSchema(0, 4_294_967_295),
	},
	durationMs: {
		flag: 'duration-ms', help: 'Period in which requests arrive, in ms.', fallback: '48000', schema: numberSchema(1000, 3_600_000),
	},
	rate: {
		flag: 'rate', help: 'Factor applied to every arrival rate.', fallback: '1', schema: numberSchema(0.001, 1000),
	},
};

/** `guavamill trace-make`: prints a seeded trace in JSON Lines format. */
export const traceMakeCommand: Command = {
	name: 'trace-make',
	usage: 'guavamill trace-make --trace burst --deployment die-works --seed 1 > burst.jsonl',
	summary: 'Prints a seeded trace of requests and faults in JSON Lines format.',
	settings: traceMakeSettings,
	maxArgs: 0,
	async run(input) {
		const settings = resolveSettings(traceMakeSettings, input);
		const {trace, ...options} = settings;
		input.print(formatTrace(makeTrace({...options, name: trace})).trimEnd());
		return exitCodes.ok;
	},
};
