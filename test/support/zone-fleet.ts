import path from 'node:path';
import type {Declaration} from '../../src/config/index.js';
import {expectedAnswer} from '../../src/stand-ins/index.js';
import type {Daemon} from './daemon.js';
import {Fleet} from './fleet.js';
import {TcpProxy, type ProxyMode} from './tcp-proxy.js';

const preload = path.resolve(import.meta.dirname, 'source-address.mjs');

/** Pipelines of a zone fleet: streams, and bookings without and with a look-up at the service. */
export type ZonePipeline = 'advice' | 'strike' | 'commission';

/** Answer of the stand-ins to a request of a zone fleet. */
export function zoneAnswer(pipeline: ZonePipeline, text: string, maxTokens: number): string {
	return expectedAnswer(pipeline === 'advice' ? [{kind: 'encode'}, {kind: 'generate', maxTokens}] : [{kind: 'call'}], [text]);
}

/**
 * Fleet of several zones with linked entry VMs and targets of their own. Every connection of an entry VM passes a TCP
 * proxy, and each zone connects from a loopback address of its own, so that proxies can cut one zone off.
 */
export class ZoneFleet {
	/** Starts the processes and publishes the declarations; the entry VM `riga-a-1` is the first of zone `riga-a`. */
	static async start(options: {zones: readonly string[]; engines?: number; deadlineMs: number}): Promise<ZoneFleet> {
		const fleet = await Fleet.start();
		const zones = new ZoneFleet(fleet, options.zones);
		const [log, vms] = await Promise.all([fleet.log, fleet.platform].map(async daemon => zones.#proxy(daemon.origin, '')));
		fleet.origins = {log: log!, vms: vms!};
		const declarations = await Promise.all(options.zones.map(async zone => zones.#targets(zone, options.engines ?? 1)));
		await Promise.all(options.zones.flatMap(zone => [1, 2].map(async number => zones.startVm(`${zone}-${number}`))));
		await fleet.publish([...zones.#shared(options.deadlineMs), ...declarations.flat()]);
		await fleet.ready();
		return zones;
	}

	/** Entry VMs by name; a restarted one replaces its predecessor. */
	readonly vms = new Map<string, Daemon>();
	/** Address of each target in the declarations, which is that of its proxy. */
	readonly addresses = new Map<string, string>();
	readonly #proxies: Array<{zone: string; proxy: TcpProxy}> = [];
	readonly #isolated = new Map<string, ProxyMode>();
	readonly #links: Array<{zone: string; proxy: TcpProxy}> = [];

	private constructor(readonly fleet: Fleet, readonly zones: readonly string[]) {}

	/** Starts or replaces an entry VM. */
	async startVm(name: string): Promise<Daemon> {
		const zone = zoneOf(name);
		const vm = await this.fleet.linkedVm(name, zone, {
			env: {SOURCE_ADDRESS: this.#address(zone), NODE_OPTIONS: `--import ${preload}`},
			proxy: async port => {
				const origin = await this.#proxy(`http://127.0.0.1:${port}`, zone);
				this.#links.push(this.#proxies.find(({proxy}) => origin.endsWith(`:${proxy.port}`))!);
				return Number(new URL(origin).port);
			},
		});
		this.vms.set(name, vm);
		return vm;
	}

	/** Entry VMs of a zone. */
	vmsOf(zone: string): Daemon[] {
		return [...this.vms].filter(([name]) => zoneOf(name) === zone).map(([, vm]) => vm);
	}

	/** Targets by the start of their names. */
	targets(prefix: string): Array<[name: string, daemon: Daemon]> {
		return [...this.fleet.targets].filter(([name]) => name.startsWith(prefix));
	}

	/** Sets how a zone's connections to and from the rest are treated; those within the zone stay as they are. */
	isolate(zone: string, mode: ProxyMode): void {
		this.#isolated.set(zone, mode);
		for (const entry of this.#proxies) {
			this.#isolateAt(entry, zone, mode);
		}
	}

	/** Silences the open links to the entry VMs of a zone; new ones work. */
	silenceLinks(zone: string): void {
		for (const {proxy} of this.#links.filter(link => link.zone === zone)) {
			proxy.silenceOpen();
		}
	}

	async close(): Promise<void> {
		await this.fleet.close();
		await Promise.all(this.#proxies.map(async ({proxy}) => proxy.close()));
	}

	/** Another zone that is cut off as well keeps its connections as they are. */
	#isolateAt({zone: side, proxy}: {zone: string; proxy: TcpProxy}, zone: string, mode: ProxyMode): void {
		const isCut = (name: string) => (this.#isolated.get(name) ?? 'forward') !== 'forward';
		const outside = side === zone ? this.zones.filter(other => other !== zone) : [zone];
		for (const other of outside) {
			if (mode !== 'forward' || !(isCut(side) || isCut(other))) {
				proxy.setMode(mode, this.#address(other));
			}
		}
	}

	#address(zone: string): string {
		return `127.0.1.${this.zones.indexOf(zone) + 1}`;
	}

	/** Origin of a new proxy in front of a port of the zone, or of the platform where `zone` is empty. */
	async #proxy(origin: string, zone: string): Promise<string> {
		const proxy = await TcpProxy.start(Number(new URL(origin).port));
		const entry = {zone, proxy};
		this.#proxies.push(entry);
		// A proxy that is new during a cut takes part in it.
		for (const [cut, mode] of this.#isolated) {
			this.#isolateAt(entry, cut, mode);
		}

		return `http://127.0.0.1:${proxy.port}`;
	}

	async #targets(zone: string, engines: number): Promise<Declaration[]> {
		const start = async (pool: string, number: number, kind: 'engine' | 'service', flags: readonly string[]): Promise<Declaration> => {
			const name = `${pool}-${zone}-${number}`;
			const daemon = await this.fleet.target(name, kind, ['--slots', '32', ...flags]);
			const address = await this.#proxy(daemon.origin, zone);
			this.addresses.set(name, new URL(address).host);
			return {
				kind: 'target', name, zone, pool, address, slots: 32, checks_fencing: false,
			};
		};

		return Promise.all([
			start('encoders', 1, 'service', ['--service-ms', '5']),
			start('strike', 1, 'service', ['--service-ms', '20']),
			start('commission', 1, 'service', ['--service-ms', '20']),
			...Array.from({length: engines}, async (_, index) => start('engines', index + 1, 'engine', ['--decode-ms-per-token', '5'])),
		]);
	}

	#shared(deadlineMs: number): Declaration[] {
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
