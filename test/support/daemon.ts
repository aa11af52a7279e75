import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';

const program = path.resolve(import.meta.dirname, '../../dist/cli/main.js');

/** Child process that runs the `guavamill` program, for tests with real processes. Needs the build in dist/. */
export class Daemon {
	/** Starts `guavamill` with arguments; resolves once it has printed its first line, which must be JSON. */
	static async start(args: readonly string[], env: Record<string, string> = {}): Promise<Daemon> {
		const child = spawn(process.execPath, [...(process.env.DAEMON_NODE_FLAGS ?? '').split(' ').filter(flag => flag !== ''), program, ...args], {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...env}});
		const daemon = new Daemon(child);
		child.stderr.setEncoding('utf8').on('data', (text: string) => {
			daemon.stderr += text;
		});
		const lines = createInterface({input: child.stdout});
		const [line] = await Promise.race([
			once(lines, 'line') as Promise<[string]>,
			once(child, 'exit').then(() => {
				throw new Error(`Cannot start ${args.join(' ')}: ${daemon.stderr}`);
			}),
		]);
		daemon.firstMessage = JSON.parse(line) as Record<string, unknown>;
		return daemon;
	}

	/** Standard error output so far. */
	stderr = '';
	/** First line of standard output, parsed as JSON. */
	firstMessage: Record<string, unknown> = {};

	private constructor(readonly child: ChildProcess) {}

	/** Origin of a simulated service. */
	get origin(): string {
		return this.firstMessage.listening as string;
	}

	/** Ports of an entry VM for callers and operators. */
	get ports(): {callers: number; operators: number} {
		return this.firstMessage.listening as {callers: number; operators: number};
	}

	pause(): void {
		this.child.kill('SIGSTOP');
	}

	resume(): void {
		this.child.kill('SIGCONT');
	}

	/** Kills the process immediately, without a graceful shutdown. */
	async kill(): Promise<void> {
		await this.#end('SIGKILL');
	}

	/** Requests a graceful shutdown; resolves with the exit code. */
	async stop(): Promise<number | null> {
		return this.#end('SIGTERM');
	}

	async #end(signal: NodeJS.Signals): Promise<number | null> {
		if (this.child.exitCode === null && this.child.signalCode === null) {
			const exited = once(this.child, 'exit');
			this.child.kill(signal);
			await exited;
		}

		return this.child.exitCode;
	}
}
