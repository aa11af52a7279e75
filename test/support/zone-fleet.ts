import path from 'node:path';
import type {Declaration} from '../../src/config/index.js';
import {expectedAnswer} from '../../src/stand-ins/index.js';
import type {Daemon} from './daemon.js';
import {Fleet} from './fleet.js';
import {restartableAddress} from './restartable-address.js';
import {TcpProxy, type ProxyMode} from './tcp-proxy.js';

const preloadFile = path.resolve(import.meta.dirname, 'source-address.mjs');

/** Pipelines of a zone fleet: `advice` generates text; `strike` and `commission` book, the latter with outcome lookup. */
export type ZonePipeline = 'advice' | 'strike' | 'commission';

/** Returns the answer that a pipeline of a zone fleet gives to a text. */
export function expectedZoneAnswer(pipeline: ZonePipeline, text: string, maxTokens: number): string {
	return expectedAnswer(pipeline === 'advice' ? [{kind: 'encode'}, {kind: 'generate', maxTokens}] : [{kind: 'call'}], [text]);
}

/**
 * Fleet of several zones, each with its own linked entry VMs and targets. Every connection of an entry VM passes through
 * a TCP proxy, and each zone connects from its own loopback address, so that the proxies can isolate one zone.
 */
export class ZoneFleet {
	/** Starts the processes and applies the declarations. Entry VM `riga-a-1` is the first in zone `riga-a`. */
	static async start(options: {zones: readonly string[]; engines?: number; deadlineMs: number}): Promise<ZoneFleet> {
		const fleet = await Fleet.start();
		const zoneFleet = new ZoneFleet(fleet, options.zones);
		const [log, vms] = await Promise.all([fleet.log, fleet.platform].map(async daemon => zoneFleet.#startProxy(daemon.origin, '')));
		fleet.origins = {log: log!, vms: vms!};
		const declarations = await Promise.all(options.zones.map(async zone => zoneFleet.#startTargets(zone, options.engines ?? 1)));
		await Promise.all(options.zones.flatMap(zone => [1, 2].map(async number => zoneFleet.startVm(`${zone}-${number}`))));
		await fleet.publish([...zoneFleet.#sharedDeclarations(options.deadlineMs), ...declarations.flat()]);
		await fleet.untilReady();
		return zoneFleet;
	}

	/** Running entry VMs by name; a restarted process replaces the previous one. */
	readonly vms = new Map<string, Daemon>();
	/** Declared address of each target, which is the address of its proxy. */
	readonly targetAddresses = new Map<string, string>();
	readonly #proxies: Array<{zone: string; proxy: TcpProxy}> = [];
	readonly #isolationModes = new Map<string, ProxyMode>();
	readonly #linkProxies: Array<{zone: string; proxy: TcpProxy}> = [];

	private constructor(readonly fleet: Fleet, readonly zones: readonly string[]) {}

	/** Starts an entry VM, or restarts it with a new incarnation. */
	async startVm(name: string): Promise<Daemon> {
		const zone = zoneOf(name);
		const vm = await this.fleet.startLinkedVm(name, zone, {
			env: {SOURCE_ADDRESS: this.#sourceAddress(zone), NODE_OPTIONS: `--import ${preloadFile}`},
			proxy: async port => {
				const origin = await this.#startProxy(`http://127.0.0.1:${port}`, zone);
				this.#linkProxies.push(this.#proxies.find(({proxy}) => origin.endsWith(`:${proxy.port}`))!);
				return Number(new URL(origin).port);
			},
		});
		this.vms.set(name, vm);
		return vm;
	}

	/** Returns the entry VMs of a zone. */
	vmsOf(zone: string): Daemon[] {
		return [...this.vms].filter(([name]) => zoneOf(name) === zone).map(([, vm]) => vm);
	}

	/** Returns the targets whose names start with a prefix. */
	targets(prefix: string): Array<[name: string, daemon: Daemon]> {
		return [...this.fleet.targets].filter(([name]) => name.startsWith(prefix));
	}

	/** Sets the proxy mode of connections between a zone and all others; connections within the zone are unaffected. */
	isolate(zone: string, mode: ProxyMode): void {
		this.#isolationModes.set(zone, mode);
		for (const entry of this.#proxies) {
			this.#applyIsolation(entry, zone, mode);
		}
	}

	/** Stops forwarding on the open links to the entry VMs of a zone; new connections work. */
	silenceLinks(zone: string): void {
		for (const {proxy} of this.#linkProxies.filter(link => link.zone === zone)) {
			proxy.silenceOpenConnections();
		}
	}

	async close(): Promise<void> {
		await this.fleet.close();
		await Promise.all(this.#proxies.map(async ({proxy}) => proxy.close()));
	}

	/** Sets the mode of one proxy for an isolated zone. Ending the isolation keeps connections of other isolated zones blocked. */
	#applyIsolation({zone: proxyZone, proxy}: {zone: string; proxy: TcpProxy}, zone: string, mode: ProxyMode): void {
		const isIsolated = (name: string) => (this.#isolationModes.get(name) ?? 'forward') !== 'forward';
		const outside = proxyZone === zone ? this.zones.filter(other => other !== zone) : [zone];
		for (const other of outside) {
			if (mode !== 'forward' || !(isIsolated(proxyZone) || isIsolated(other))) {
				proxy.setMode(mode, this.#sourceAddress(other));
			}
		}
	}

	#sourceAddress(zone: string): string {
		return `127.0.1.${this.zones.indexOf(zone) + 1}`;
	}

	/** Starts a proxy in front of a port of the zone, or of the platform if `zone` is empty; returns the proxy's origin. */
	async #startProxy(origin: string, zone: string): Promise<string> {
		const proxy = await TcpProxy.start(Number(new URL(origin).port));
		const entry = {zone, proxy};
		this.#proxies.push(entry);
		// A proxy started while a zone is isolated applies that isolation too.
		for (const [isolatedZone, mode] of this.#isolationModes) {
			this.#applyIsolation(entry, isolatedZone, mode);
		}

		return `http://127.0.0.1:${proxy.port}`;
	}

	async #startTargets(zone: string, engines: number): Promise<Declaration[]> {
		const start = async (pool: string, number: number, kind: 'engine' | 'service', flags: readonly string[]): Promise<Declaration> => {
			const name = `${pool}-${zone}-${number}`;
			const daemon = await this.fleet.startTarget(name, kind, ['--slots', '32', ...flags]);
			const address = await this.#startProxy(daemon.origin, zone);
			this.targetAddresses.set(name, new URL(address).host);
			return {
				kind: 'target', name, zone, pool, address, slots: 32, checks_fencing: false,
			};
		};

		return Promise.all([
			start('encoders', 1, 'service', ['--service-ms', '5']),
			start('strike', 1, 'service', ['--service-ms', '20']),
			start('commission', 1, 'service', ['--service-ms', '20']),
			...Array.from({length: engines}, async (_, index) => start('engines', index + 1, 'engine', ['--decode-ms-per-token', '5', '--listen', await restartableAddress()])),
		]);
	}

	#sharedDeclarations(deadlineMs: number): Declaration[] {
		const pool = (name: string, type: 'engine' | 'service', lookup = false): Declaration => ({
			kind: 'pool', name, type, prefill_ms_per_token: 0.05, decode_ms_per_token: 5, service_ms: 20, cost_per_second: 0, lookup,
		});
		const booking = (name: string): Declaration => ({
			kind: 'pipeline',
			name,
			deadline_ms: deadlineMs,
			stages: [{
				name: 'book', kind: 'call', pool: name, idempotent: false,
			}],
		});
		return [
			...this.zones.map((name): Declaration => ({kind: 'zone', name, region: 'Riga'})),
			{
				kind: 'team', name: 'engravers', weight: 1, priority: 5, deadline_ms: deadlineMs,
			},
			pool('encoders', 'service'),
			pool('engines', 'engine'),
			pool('strike', 'service'),
			pool('commission', 'service', true),
			booking('strike'),
			booking('commission'),
			{
				kind: 'pipeline',
				name: 'advice',
				deadline_ms: deadlineMs,
				stages: [
					{
						name: 'encode', kind: 'encode', pool: 'encoders', idempotent: true,
					},
					{
						name: 'generate', kind: 'generate', pool: 'engines', idempotent: true,
					},
				],
			},
		];
	}
}

function zoneOf(vm: string): string {
	return vm.slice(0, vm.lastIndexOf('-'));
}
