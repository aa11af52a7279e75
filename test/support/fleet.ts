import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {Declaration} from '../../src/config/index.js';
import {Daemon} from './daemon.js';

/** Polls `check` until it returns true; throws after `timeoutMs`. `what` names the awaited state in the error message. */
export async function until(check: () => Promise<boolean> | boolean, what: string, timeoutMs = 30_000): Promise<void> {
	const end = Date.now() + timeoutMs;
	while (!await check()) {
		if (Date.now() > end) {
			throw new Error(`Cannot continue: waiting for ${what} timed out after ${timeoutMs} ms`);
		}

		await sleep(20);
	}
}

/** Sends a POST request with a JSON body and returns the status and the parsed JSON response. */
export async function post(url: string, body: unknown): Promise<{status: number; body: any}> {
	const res = await request(url, {
		method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(body), headersTimeout: 60_000,
	});
	return {status: res.statusCode, body: await res.body.json()};
}

/** Calls the operator RPC of an entry VM with Connect's JSON encoding; throws for a status other than 200. */
export async function rpc(vm: Daemon, method: string, body: unknown): Promise<any> {
	const result = await post(`http://127.0.0.1:${vm.ports.operators}/guavamill.v1.OperatorService/${method}`, body);
	if (result.status !== 200) {
		throw new Error(`Cannot call ${method}: ${result.status} ${JSON.stringify(result.body)}`);
	}

	return result.body;
}

/** Sends a GET request and returns the parsed JSON response. */
export async function get(url: string): Promise<any> {
	const res = await request(url);
	return res.body.json();
}

/** Processes of one test: log, VM list, targets and entry VMs. */
export class Fleet {
	/** Starts the log and the VM list. */
	static async start(): Promise<Fleet> {
		const [log, platform] = await Promise.all([Daemon.start(['stand-in', 'log']), Daemon.start(['stand-in', 'platform'])]);
		return new Fleet(log, platform);
	}

	readonly targets = new Map<string, Daemon>();
	readonly entryVms: Daemon[] = [];
	/** Origins of the log and the VM list as passed to entry VMs; tests may replace them by those of proxies. */
	origins: {log: string; vms: string};
	#revision = -1;

	private constructor(readonly log: Daemon, readonly platform: Daemon) {
		this.origins = {log: log.origin, vms: platform.origin};
	}

	/** Starts a simulated target. */
	async startTarget(name: string, kind: 'engine' | 'service', flags: readonly string[] = []): Promise<Daemon> {
		const daemon = await Daemon.start(['stand-in', kind, ...flags]);
		this.targets.set(name, daemon);
		return daemon;
	}

	/** Starts an entry VM. */
	async startEntryVm(name: string, zone: string, flags: readonly string[] = [], env: Record<string, string> = {}): Promise<Daemon> {
		const daemon = await Daemon.start(['serve', '--name', name, '--zone', zone, '--callers', '127.0.0.1:0', '--operators', '127.0.0.1:0', '--log', this.origins.log, '--vms', this.origins.vms, ...flags], {GUAVAMILL_LOG_LEVEL: 'warn', ...env});
		this.entryVms.push(daemon);
		return daemon;
	}

	/**
	 * Applies declarations to the latest revision through the operator RPC of `via` or the first entry VM; starts a
	 * temporary entry VM if none runs yet. Throws unless the change is accepted.
	 */
	async publish(declarations: readonly Declaration[], {remove = [], via}: {remove?: readonly string[]; via?: Daemon} = {}): Promise<void> {
		const running = via ?? this.entryVms[0];
		const vm = running ?? await this.startEntryVm('publisher', 'sample-a');
		try {
			const {revision} = await rpc(vm, 'Get', {keys: ['zone/none']});
			this.#revision = Math.max(this.#revision, Number(revision));
			const result = await rpc(vm, 'Apply', {
				baseRevision: this.#revision, set: declarations, remove, author: 'test', changeId: randomUUID(),
			});
			if (!result.accepted) {
				throw new Error(`Cannot publish: ${JSON.stringify(result)}`);
			}

			this.#revision = Number(result.accepted.revision);
		} finally {
			if (!running) {
				this.entryVms.splice(this.entryVms.indexOf(vm), 1);
				await vm.stop();
			}
		}
	}

	/** Starts an entry VM with links and adds it to the VM list; `proxy` returns the port to list in place of its own. */
	async startLinkedVm(name: string, zone: string, options: {flags?: readonly string[]; proxy?: (port: number) => Promise<number>; isListed?: boolean; key?: string; env?: Record<string, string>} = {}): Promise<Daemon> {
		const vm = await this.startEntryVm(name, zone, ['--links', '127.0.0.1:0', '--link-key', options.key ?? linkKey, ...options.flags ?? []], options.env);
		const port = linkPort(vm);
		if (options.isListed ?? true) {
			await this.addToVmList(name, zone, {port: await options.proxy?.(port) ?? port, startId: vm.firstMessage.incarnation as string});
		}

		return vm;
	}

	/** Adds an entry VM to the platform's VM list, or updates its entry. */
	async addToVmList(name: string, zone: string, options: {port: number; startId: string}): Promise<void> {
		await post(`${this.platform.origin}/vms`, {
			id: name, zone, role: 'entry', address: `127.0.0.1:${options.port}`, start_id: options.startId, state: 'live',
		});
	}

	/** Removes an entry VM from the platform's VM list. */
	async removeFromVmList(name: string): Promise<void> {
		await post(`${this.platform.origin}/vms/remove`, {id: name});
	}

	/** Waits until every entry VM reports ready. */
	async untilReady(): Promise<void> {
		for (const vm of this.entryVms) {
			await until(async () => (await request(`http://127.0.0.1:${vm.ports.operators}/ready`)).statusCode === 200, 'readiness');
		}
	}

	/** Kills all processes, also those that are paused. */
	async close(): Promise<void> {
		await Promise.all([...this.entryVms, ...this.targets.values(), this.log, this.platform].map(async daemon => {
			daemon.resume();
			await daemon.kill();
		}));
	}
}

/** Link key of entry VMs started by `startLinkedVm`. */
export const linkKey = 'link key of the process tests';

/** Returns the port on which an entry VM accepts links. */
export function linkPort(vm: Daemon): number {
	return (vm.firstMessage.listening as {links: number}).links;
}

/** Returns the peer states reported by an entry VM's Status, by peer name. */
export async function peersOf(vm: Daemon): Promise<Record<string, string>> {
	const {peers = []} = await rpc(vm, 'Status', {}) as {peers?: Array<{name: string; state: string}>};
	return Object.fromEntries(peers.map(peer => [peer.name, peer.state]));
}

/** Returns the URL of a pipeline at an entry VM. */
export function pipelineUrl(vm: Daemon, pipeline: string): string {
	return `http://127.0.0.1:${vm.ports.callers}/v1/pipelines/${pipeline}/requests`;
}
