// Starts the program of the deploy file as separate processes, with settings like those of a small deployment.
import {spawn} from 'node:child_process';
import {
	mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const readyTimeoutMs = 20_000;
/** The platform asks each node once a second; no answer until the next question is a miss. */
const readyAnswerMs = 950;
/** Time after which a case ends in any event. */
const caseTimeoutMs = 112_000;
/** `run.sh` turns the status for a broken rule into 1, and any other into 2: Node.js itself exits with 1 after an error. */
const exitStatus = {held: 0, failed: 2, broken: 3};

async function freePort(ip) {
	const server = createServer();
	await new Promise(resolve => {
		server.listen(0, ip, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

/** Returns the words of the run command of the deploy file. */
function runCommand() {
	return /^run = "(?<command>.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8')).groups.command.split(' ');
}

function settingsOf({name, ip, zone, ports, store, bounds}) {
	return `node-name = "${name}"
role = "relay"
machine-class = "front"
serves = ["front"]
ip = "${ip}"
zone = "${zone}"
region = "riga"
internal-ports = [${ports.links},${ports.links}]
bootstrap = true
heartbeat-ms = 1200
[zones]
riga-a = "riga"
[listen]
front = "${ip}:${ports.front}"
ready-addr = "${ip}:${ports.ready}"
[limits]
cpu-share = 0.675
cpu-cores = 1
memory-mb = 350
fd-limit = 4100
[bounds]
${Object.entries({
	'stable-window-ms': 4000, 'drain-ms': 2500, 'grace-s': 8, 'config-apply-ms': 2500, 'retry-budget-ratio': 0.2, 'budget-window-s': 10, 'retry-slack': 58, 'recovery-s': 12, ...bounds,
}).map(([key, value]) => `${key} = ${value}`).join('\n')}
[platform]
address = "${store}"
form = "log"
`;
}

/** One process of the program that runs on \`front\` machines. */
export class Vm {
	static async start(options) {
		const [front, ready, links] = [await freePort(options.ip), await freePort(options.ip), await freePort(options.ip)];
		const vm = new Vm({zone: 'riga-a', ...options, ports: {front, ready, links}});
		vm.spawn();
		return vm;
	}

	/** How the process ended by itself, if it did. */
	ownEnd;
	#child;
	#isStopped = false;

	constructor(options) {
		this.options = options;
		this.name = options.name;
		this.settingsPath = path.join(options.folder, `${options.name}.toml`);
		this.logPath = path.join(options.folder, `${options.name}.log`);
	}

	get pid() {
		return this.#child.pid;
	}

	spawn() {
		writeFileSync(this.settingsPath, settingsOf(this.options));
		const log = openSync(this.logPath, 'a');
		const [, ...args] = runCommand();
		const {PATH, HOME} = process.env;
		this.#isStopped = false;
		this.#child = spawn(process.execPath, args, {stdio: ['ignore', log, log], env: {PATH, HOME, GUAVAMILL_SETTINGS: this.settingsPath}});
		this.#child.on('exit', (code, signal) => {
			this.ownEnd = this.#isStopped ? undefined : `exit status ${code}, signal ${signal}`;
		});
	}

	signal(name) {
		this.#isStopped ||= name === 'SIGTERM' || name === 'SIGKILL';
		this.#child.kill(name);
	}

	async isReady() {
		try {
			const {status} = await send({
				host: this.options.ip, port: this.options.ports.ready, path: '/ready', timeoutMs: readyAnswerMs,
			});
			return status === 200;
		} catch {
			return false;
		}
	}

	/** Sends a request as a requester does, on a new channel. */
	async request(options) {
		return send({host: this.options.ip, port: this.options.ports.front, ...options});
	}

	log() {
		return readFileSync(this.logPath, 'utf8');
	}
}

/** Sends one request on a channel of its own and resolves with the answer; `error` is set if the channel ended before it was whole. */
export async function send({host, port, method = 'GET', path: target, headers = {}, body, agent = false, timeoutMs = 30_000}) {
	return new Promise(resolve => {
		const startedMs = Date.now();
		const chunks = [];
		let res;
		const end = fields => {
			clearTimeout(timer);
			resolve({
				status: res?.statusCode ?? 0, headers: res?.headers ?? {}, body: chunks.join(''), tookMs: Date.now() - startedMs, ...fields,
			});
		};

		const req = request({
			host, port, method, path: target, headers, agent,
		}, received => {
			res = received;
			res.setEncoding('latin1');
			res.on('data', chunk => chunks.push(chunk));
			res.on('end', () => {
				end(res.complete ? {} : {error: 'the answer was cut off'});
			});
			res.on('error', err => {
				end({error: err.message});
			});
		});
		const timer = setTimeout(() => {
			req.destroy();
			end({error: 'gave up'});
		}, timeoutMs);
		req.on('error', err => {
			end({error: err.message});
		});
		req.end(body);
	});
}

/** The platform's entry: asks each node once a second whether it is ready, and sends channels to those that have not missed twice. */
export class Entry {
	#misses = new Map();
	#next = 0;
	#timer;

	constructor(vms) {
		this.vms = vms;
		this.#timer = setInterval(() => {
			for (const vm of vms) {
				void this.#ask(vm);
			}
		}, 1000);
	}

	/** Returns the node for a new channel. */
	choose() {
		const inRotation = this.vms.filter(vm => this.missesOf(vm) < 2);
		const candidates = inRotation.length * 2 < this.vms.length ? this.vms : inRotation;
		return candidates[this.#next++ % candidates.length];
	}

	missesOf(vm) {
		return this.#misses.get(vm) ?? 0;
	}

	close() {
		clearInterval(this.#timer);
	}

	async #ask(vm) {
		const isReady = await vm.isReady();
		this.#misses.set(vm, isReady ? 0 : this.missesOf(vm) + 1);
	}
}

/** Waits until a condition holds; throws if it does not in time. */
export async function waitUntil(condition, what, timeoutMs = readyTimeoutMs) {
	const endMs = Date.now() + timeoutMs;
	while (!await condition()) {
		if (Date.now() > endMs) {
			throw new Error(`Cannot run the case: ${what} did not happen in time`);
		}

		await sleep(50);
	}
}

/** Returns a route of the operator's desired state. */
export function route(name, fields = {}) {
	return {
		name, hostname: 'desk.example', 'path-prefix': `/${name}/`, kind: 'safe', 'timeout-ms': 1000, 'target-latency-ms': 200, priority: 0, service: 'order-desk', 'max-attempts': 2, stages: [], public: false, 'session-affinity': false, 'stream-resume': false, ...fields,
	};
}

/** Returns a desired state. */
export function desiredState(version, routes, fields = {}) {
	return {
		version,
		routes,
		services: [
			{
				name: 'order-desk', 'health-path': '/health', 'max-connections': 110, protocol: 'h1', tls: false,
			},
			{
				name: 'guava-engrave', 'health-path': '/health', 'max-connections': 370, protocol: 'h1', tls: false, engine: {
					slots: 64, 'kv-capacity': 425_277, 'kv-token-bytes': 163_840, 'link-mbps': 130_000, 'handle-s': 5, models: [{name: 'm'}],
				},
			},
			{
				name: 'archive-vault', 'health-path': '/health', 'max-connections': 370, protocol: 'h1', tls: false, pieces: {
					slots: 1, queue: 2, batch: 7, 'call-ms': 200, 'item-ms': 24, 'headroom-mb': 15.75, 'handle-s': 4, 'link-mbps': 10_000,
				},
			},
		],
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
		},
		tenants: [{name: 'bozi300', 'api-keys': ['key-1'], priority: 1}],
		...fields,
	};
}

let lastId = 0;

/** Returns the headers of a request, with an id of its own. */
export function headersOf(fields = {}) {
	return {
		host: 'desk.example', 'x-guavamill-attempt-id': `a${String(++lastId).padStart(6, '0')}`, 'x-guavamill-deadline-ms': '2000', 'x-api-key': 'key-1', ...fields,
	};
}

/** Runs a case: writes `record.txt`, ends all processes, and exits with a status of `exitStatus`. */
export async function runCase(folder, run) {
	const work = mkdtempSync(path.join(tmpdir(), 'review-'));
	const lines = [];
	const vms = [];
	const closers = [];
	const startedMs = Date.now();
	const record = line => lines.push(`${String(Date.now() - startedMs).padStart(7)} ms  ${line}`);
	const trouble = process.env.TROUBLE !== '0';
	process.on('uncaughtException', err => {
		record(`the stand-ins failed: ${err.stack}`);
		writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\nRESULT: the case could not run\n`);
		process.exit(exitStatus.failed);
	});
	// No process outlives the case, however it ends.
	process.on('exit', () => {
		for (const vm of vms) {
			vm.signal('SIGKILL');
		}
	});
	for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
		process.on(signal, () => {
			process.exit(exitStatus.failed);
		});
	}

	let status = exitStatus.failed;
	const timeout = setTimeout(() => {
		writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\nRESULT: the case could not run: it took too long\n`);
		process.exit(exitStatus.failed);
	}, caseTimeoutMs);
	try {
		const isKept = await run({
			trouble, record, work, closers,
			async startVm(name, fields) {
				const vm = await Vm.start({
					name, folder: work, ip: `127.0.${1 + (process.pid % 250)}.${11 + vms.length}`, ...fields,
				});
				vms.push(vm);
				return vm;
			},
		});
		status = isKept ? exitStatus.held : exitStatus.broken;
		record(isKept ? 'RESULT: the rule held' : 'RESULT: the rule was broken');
	} catch (err) {
		record(`RESULT: the case could not run: ${err.stack}`);
		for (const vm of vms) {
			record(`${vm.name}: ${vm.log().split('\n').slice(-5).join('\n')}`);
		}
	}

	clearTimeout(timeout);
	for (const vm of vms) {
		vm.signal('SIGKILL');
	}

	for (const close of closers) {
		close();
	}

	if (process.env.KEEP !== undefined) {
		for (const vm of vms) {
			writeFileSync(path.join(process.env.KEEP, `${vm.name}.log`), vm.log());
		}
	}

	writeFileSync(path.join(folder, 'record.txt'), `${trouble ? 'with' : 'without'} the disruption\n${lines.join('\n')}\n`);
	rmSync(work, {recursive: true, force: true});
	process.exit(status);
}
