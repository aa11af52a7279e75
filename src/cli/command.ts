import type {SettingTable} from '../settings/index.js';

/** Exit codes of the program. */
export const exitCodes = {ok: 0, failed: 1, usage: 2} as const;

/** What a command is given. */
export interface CommandInput {
	/** Flags by name, without dashes. */
	readonly flags: ReadonlyMap<string, string>;
	/** Arguments after the subcommand that are not flags. */
	readonly args: readonly string[];
	readonly env: Readonly<Record<string, string | undefined>>;
	/** Writes a line to standard output. */
	readonly print: (line: string) => void;
	/** Resolves at the first SIGINT or SIGTERM. */
	readonly stopped: Promise<void>;
}

/** One subcommand of `guavamill`. */
export interface Command {
	readonly name: string;
	readonly usage: string;
	readonly summary: string;
	readonly settings: SettingTable;
	/** Most arguments besides flags; more are wrong usage. */
	readonly maxArgs: number;
	/** Runs the command; returns the exit code. Throws `FindingsError` for wrong usage. */
	run(input: CommandInput): Promise<number>;
}

/** Prints lines one by one. */
export function printLines(input: Pick<CommandInput, 'print'>, lines: readonly string[]): void {
	for (const line of lines) {
		input.print(line);
	}
}
