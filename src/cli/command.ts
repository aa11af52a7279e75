import type {SettingTable} from '../settings/index.js';

/** Exit codes of the program. */
export const exitCodes = {ok: 0, failed: 1, usage: 2} as const;

/** Input of a command. */
export interface CommandInput {
	/** Flags by name, without dashes. */
	readonly flags: ReadonlyMap<string, string>;
	/** Arguments after the subcommand that are not flags. */
	readonly args: readonly string[];
	/** Environment variables by name. */
	readonly env: Readonly<Record<string, string | undefined>>;
	/** Writes a line to standard output. */
	readonly print: (line: string) => void;
	/** Resolves at the first SIGINT or SIGTERM. */
	readonly stopRequested: Promise<void>;
}

/** One subcommand of `guavamill`. */
export interface Command {
	readonly name: string;
	readonly usage: string;
	readonly summary: string;
	readonly settings: SettingTable;
	/** Maximum number of arguments that are not flags; more are a usage error. */
	readonly maxArgs: number;
	/** Runs the command and returns the exit code. Throws a `FindingsError` for a usage error. */
	run(input: CommandInput): Promise<number>;
}

/** Prints each line with `input.print`. */
export function printLines(input: Pick<CommandInput, 'print'>, lines: readonly string[]): void {
	for (const line of lines) {
		input.print(line);
	}
}
