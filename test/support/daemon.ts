import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';

const program = path.resolve(import.meta.dirname, '../../dist/cli/main.js');

/** One process of the program, for failure tests. Needs the build in dist/. */
export class Daemon {
	/** Starts `guavamill` with arguments; resolves with the first line that it prints, which is JSON. */
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
		daemon.hello = JSON.parse(line) as Record<string, unknown>;
		return daemon;
	}

	/** What the process wrote to standard error. */
	stderr = '';
	/** The first line that the process printed. */
	hello: Record<string, unknown> = {};

	private constructor(readonly child: ChildProcess) {}

	/** Origin of a stand-in. */
	get origin(): string {
		return this.hello.listening as string;
	}

	/** Ports of an entry VM. */
	get ports(): {callers: number; operators: number} {
		return this.hello.listening as {callers: number; operators: number};
	}

	pause(): void {
		this.child.kill('SIGSTOP');
	}

	resume(): void {
		this.child.kill('SIGCONT');
	}

	/** Ends the process at once, without a shutdown. */
	async kill(): Promise<void> {
		await this.#end('SIGKILL');
	}

	/** Asks the process to shut down; resolves with its exit code. */
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
