import {describe, expect, it} from 'vitest';
import {SimulatedMesh} from '../../test/support/simulated-mesh.js';
import {ManualClock} from '../clock/index.js';
import {encodeLinkMessage} from '../links/link-message.js';
import {rankByRendezvous} from '../links/index.js';
import {Random} from '../random/index.js';
import {RelayTarget} from '../registry/index.js';
import {PromptExchange, type PromptMessage} from './prompt-exchange.js';
import {PromptLoads} from './prompt-loads.js';

const service = {
	name: 'llm', maxConnections: 100, stagePool: undefined, engineSlots: 64,
};

/** Entry VMs in cells of 25 that send prompts to the same engines. */
class SimulatedFleet {
	static create(size: number, engines: number): SimulatedFleet {
		return new SimulatedFleet(size, engines);
	}

	readonly clock = ManualClock.create({now: 10_000});
	readonly engines: readonly RelayTarget[];
	readonly loads: PromptLoads[] = [];
	readonly exchanges: PromptExchange[] = [];
	readonly mesh: SimulatedMesh;
	/** Bytes of all messages, and of those that the first leader sends. */
	bytes = 0;
	leaderBytes = 0;

	private constructor(size: number, engines: number) {
		this.engines = Array.from({length: engines}, (_, index) => RelayTarget.create({
			id: `e-${index}`, service: 'llm', address: `10.0.0.1:${index}`, zone: 'zone-0', slots: 64, isDraining: false, startedMs: 1,
		}));
		this.mesh = SimulatedMesh.create({
			size,
			clock: this.clock,
			deliver: (vm, link, message) => {
				if (!this.mesh.lost.has(vm)) {
					const {length} = encodeLinkMessage(message);
					this.bytes += length;
					this.leaderBytes += link.peer.name === 'vm-0' ? length : 0;
					this.exchanges[vm]!.receive(link, message as PromptMessage);
				}
			},
		});
		for (let vm = 0; vm < size; vm++) {
			const exchange = PromptExchange.create({clock: this.clock, mesh: () => this.mesh.lost.has(vm) ? undefined : this.mesh.at(vm), loads: () => this.loads[vm]!});
			this.exchanges.push(exchange);
			this.loads.push(PromptLoads.create({
				clock: this.clock, service: () => service, rank: rankByRendezvous, groupOf: zone => zone, listener: exchange,
			}));
		}
	}

	/** Starts a prompt at an entry VM. */
	start(vm: number, engine = 0, inputTokens = 30_000) {
		return this.loads[vm]!.start(this.engines[engine]!, {
			inputTokens, maxOutputTokens: 100, uncachedTokens: inputTokens, isStream: true, roundTripMs: 0,
		})!;
	}

	/** Loses an entry VM, which its peers notice. */
	lose(lost: number): void {
		this.mesh.lost.add(lost);
		for (const [vm, exchange] of this.exchanges.entries()) {
			exchange.linkLost(this.mesh.link(vm, lost));
		}
	}

	/** Tokens held at an engine as each entry VM knows it, in thousands. */
	held(engine = 0): number[] {
		return this.loads.filter((_, vm) => !this.mesh.lost.has(vm)).map(loads => Math.round(loads.heldTokens(this.engines[engine]!) / 1000));
	}
}

describe('PromptExchange', () => {
	it.each([1, 9, 60, 200])('tells all of %d entry VMs the work of the others within 900 ms, their own counted once, and its end', async size => {
		const fleet = SimulatedFleet.create(size, 3);
		const tickets = [0, size - 1, Math.floor(size / 2)].map(vm => fleet.start(vm));
		await fleet.clock.advance(900);
		expect(new Set(fleet.held())).toEqual(new Set([90]));
		for (const ticket of tickets) {
			ticket.end();
		}

		await fleet.clock.advance(900);
		expect(new Set(fleet.held())).toEqual(new Set([0]));
		// Guards against messages without changes.
		const {messages} = fleet.mesh;
		await fleet.clock.advance(5000);
		expect(fleet.mesh.messages).toBe(messages);
	});

	// Guards against work that nobody knows of, or that counts twice, after the leader of a cell or a member is lost halfway.
	it.each([25, 30])('goes on without the work of entry VM %d of 60 after that is lost', async lost => {
		const fleet = SimulatedFleet.create(60, 3);
		for (const vm of [25, 30, 3]) {
			fleet.start(vm);
		}

		await fleet.clock.advance(1000);
		expect(new Set(fleet.held())).toEqual(new Set([90]));
		fleet.lose(lost);
		await fleet.clock.advance(1500);
		expect(new Set(fleet.held())).toEqual(new Set([60]));
	});

	// Guards against memory that is used up by many small requests, each of which is too small to tell of.
	it('tells of the sum of many small prompts', async () => {
		const fleet = SimulatedFleet.create(60, 1);
		for (let vm = 0; vm < 60; vm++) {
			fleet.start(vm, 0, 1900);
		}

		await fleet.clock.advance(1500);
		expect(Math.min(...fleet.held())).toBeGreaterThan(90);
	});

	// Guards against old work that counts for ever where links are up but carry nothing, as half-open ones do.
	it('lets the work of others expire when reports are late, and counts it again once they arrive', async () => {
		const fleet = SimulatedFleet.create(9, 3);
		fleet.start(4);
		await fleet.clock.advance(1000);
		fleet.mesh.cutOff.add(4);
		await fleet.clock.advance(5000);
		expect(fleet.held()).toEqual([0, 0, 0, 0, 30, 0, 0, 0, 0]);
		fleet.mesh.cutOff.delete(4);
		await fleet.clock.advance(2500);
		expect(new Set(fleet.held())).toEqual(new Set([30]));
	});

	it('tells all entry VMs measured speeds and lengths, once', async () => {
		const fleet = SimulatedFleet.create(60, 2);
		for (let round = 0; round < 30; round++) {
			for (const engine of [0, 1]) {
				const ticket = fleet.start(30, engine);
				await fleet.clock.advance(engine === 0 ? 500 : 1500);
				ticket.recordFirstEvent();
				ticket.end();
			}
		}

		await fleet.clock.advance(1000);
		const ratios = fleet.loads.map(loads => loads.outlook(fleet.engines[1]!).slowness / loads.outlook(fleet.engines[0]!).slowness);
		expect(Math.min(...ratios)).toBeGreaterThan(1.8);
		expect(Math.max(...ratios) - Math.min(...ratios)).toBeLessThan(0.3);
	});

	// Guards against links that are filled by the work of large fleets: entry VMs have from 7 Mbit/s and a quarter of a core.
	it.each([
		{
			size: 60, engines: 63, perSecond: 200, maxBytes: 3000,
		},
		{
			size: 200, engines: 140, perSecond: 600, maxBytes: 6500,
		},
	])('sends few and small messages for $size entry VMs, $engines engines and $perSecond prompts a second', async ({size, engines, perSecond, maxBytes}) => {
		const fleet = SimulatedFleet.create(size, engines);
		const random = Random.create(4);
		const durationMs = 3000;
		for (let ms = 0; ms < durationMs; ms += 5) {
			for (let count = 0; count < perSecond / 200; count++) {
				const ticket = fleet.start(random.integer(0, size - 1), random.integer(0, engines - 1), random.integer(500, 6000));
				fleet.clock.after(random.integer(20, 200), () => {
					ticket.recordFirstEvent();
				});
				fleet.clock.after(random.integer(300, 1500), () => {
					ticket.end();
				});
			}

			await fleet.clock.advance(5);
		}

		const seconds = durationMs / 1000;
		const [messages, bytes] = [fleet.mesh.messages, fleet.bytes].map(sum => sum / seconds / size);
		console.log(`${size} entry VMs, ${engines} engines: ${messages!.toFixed(1)} messages and ${Math.round(bytes!)} bytes a second for each entry VM; ${Math.round(fleet.leaderBytes / seconds)} bytes a second sent by the first leader`);
		expect(messages).toBeLessThan(11);
		expect(bytes).toBeLessThan(maxBytes);
	}, 60_000);
});
