#!/usr/bin/env node
import process from 'node:process';
import {realpathSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import meow from 'meow';
import {errorMessage, FindingsError} from '../errors/index.js';
import {environmentVariableName} from '../settings/index.js';
import {applyCommand} from './apply-command.js';
import {checkCommand} from './check-command.js';
import {exitCodes, type Command, type CommandInput} from './command.js';
import {drainCommand} from './drain-command.js';
import {explainCommand} from './explain-command.js';
import {getCommand} from './get-command.js';
import {planCommand} from './plan-command.js';
import {replayCommand} from './replay-command.js';
import {sampleCommand} from './sample-command.js';
import {serveCommand} from './serve-command.js';
import {standInCommand} from './stand-in-command.js';
import {statusCommand} from './status-command.js';
import {traceCommand} from './trace-command.js';
import {traceMakeCommand} from './trace-make-command.js';

/** All subcommands. */
export const commands: readonly Command[] = [
	serveCommand,
	standInCommand,
	sampleCommand,
	applyCommand,
	planCommand,
	checkCommand,
	getCommand,
	statusCommand,
	drainCommand,
	explainCommand,
	traceCommand,
	traceMakeCommand,
	replayCommand,
];

/**
 * Runs the program with its arguments and sets the exit code: 0 for success, 1 for a failure, 2 for a usage error.
 *
 * @example
 * await main(['serve', '--name', 'riga-1']);
 */
export async function main(argv: readonly string[]): Promise<void> {
	process.exitCode = await run(argv);
}

async function run(argv: readonly string[]): Promise<number> {
	const command = commands.find(candidate => candidate.name === argv[0]);
	const rest = command ? argv.slice(1) : argv;
	if (rest.includes('--help') || argv.length === 0) {
		print(command ? commandHelp(command) : programHelp());
		return argv.length === 0 ? exitCodes.usage : exitCodes.ok;
	}

	if (!command) {
		process.stderr.write(`Cannot run ${argv[0]}: unknown command\n\n${programHelp()}\n`);
		return exitCodes.usage;
	}

	try {
		return await command.run({
			...checkArgs(command, parse(command, rest)), env: process.env, print, stopRequested: waitForStopSignal(),
		});
	} catch (err) {
		process.stderr.write(`${errorMessage(err)}\n`);
		return err instanceof FindingsError ? exitCodes.usage : exitCodes.failed;
	}
}

function parse(command: Command, argv: readonly string[]): Pick<CommandInput, 'flags' | 'args'> {
	const cli = readFlags(() => meow({
		importMeta: import.meta,
		argv,
		autoHelp: false,
		autoVersion: false,
		flags: Object.fromEntries(Object.values(command.settings).map(setting => [
			setting.flag.replaceAll(/-(?<letter>.)/g, (_match, letter: string) => letter.toUpperCase()),
			{type: setting.isBoolean ? 'boolean' as const : 'string' as const},
		])),
		booleanDefault: undefined,
	}));
	const flags = new Map<string, string>();
	for (const [name, value] of Object.entries(cli.flags)) {
		if (value !== undefined) {
			flags.set(name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`), typeof value === 'string' ? value : JSON.stringify(value));
		}
	}

	return {flags, args: cli.input};
}

function checkArgs(command: Command, parsed: Pick<CommandInput, 'flags' | 'args'>): Pick<CommandInput, 'flags' | 'args'> {
	const extra = parsed.args.slice(command.maxArgs);
	if (extra.length > 0) {
		throw FindingsError.create(`run ${command.name}`, extra.map(value => ({place: 'arguments', message: `too many, the maximum is ${command.maxArgs}`, value})));
	}

	return parsed;
}

/** Converts an error of meow, which it throws for a repeated flag, to a usage error. */
function readFlags<T>(read: () => T): T {
	try {
		return read();
	} catch (err) {
		throw FindingsError.create('read the flags', [{place: 'flags', message: errorMessage(err)}]);
	}
}

function programHelp(): string {
	const rows = commands.map(command => `  ${command.name.padEnd(10)} ${command.summary}`);
	return ['Usage: guavamill <command> [flags]', '', ...rows, '', 'guavamill <command> --help lists its flags.'].join('\n');
}

function commandHelp(command: Command): string {
	const rows = Object.values(command.settings).map(setting => {
		const fallback = setting.fallback === undefined ? 'required' : `default ${setting.fallback === '' ? 'empty' : setting.fallback}`;
		return `  --${setting.flag.padEnd(22)} ${environmentVariableName(setting.flag).padEnd(34)} ${setting.help} (${fallback})`;
	});
	return [`Usage: ${command.usage}`, '', command.summary, '', ...rows].join('\n');
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

/**
 * Resolves at the first SIGINT or SIGTERM. The handlers stay registered, so that a second signal does not terminate the
 * process while it drains.
 */
async function waitForStopSignal(): Promise<void> {
	return new Promise(resolve => {
		for (const signal of ['SIGINT', 'SIGTERM'] as const) {
			process.on(signal, () => {
				resolve();
			});
		}
	});
}

if (process.argv[1] !== undefined && realpathSync(process.argv[1]) === fileURLToPath(import.meta.url)) {
	await main(process.argv.slice(2));
	// Idle client connections would keep the process running.
	process.exit();
}
