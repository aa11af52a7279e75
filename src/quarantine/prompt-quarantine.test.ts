import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {SimulatedMesh} from '../../test/support/simulated-mesh.js';
import {ManualClock} from '../clock/index.js';
import {decodeLinkMessage, encodeLinkMessage} from '../links/link-message.js';
import type {Link} from '../links/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import type {KeyedRecord, KeyedWriter} from '../topics/index.js';
import {PromptQuarantine, type SuspicionMessage} from './prompt-quarantine.js';
import {requestId} from './request-id.js';

/** Records of the quarantine topic; `fail` makes writes throw. */
class MemoryTopic implements KeyedWriter {
	static create(): MemoryTopic {
		return new MemoryTopic();
	}

	readonly records = new Map<string, Uint8Array>();
	isDown = false;

	private constructor() {}

	async put(key: string, value: Uint8Array): Promise<void> {
		this.#throwIfDown();
		this.records.set(key, value);
	}

	async remove(key: string): Promise<void> {
		this.#throwIfDown();
		this.records.delete(key);
	}

	all(): KeyedRecord[] {
		return [...this.records].map(([key, value]) => ({key, value}));
	}

	#throwIfDown(): void {
		if (this.isDown) {
			throw new Error('the store is down');
		}
	}
}

/** Entry VMs with a quarantine each. */
class SimulatedFleet {
	static create(size: number, cellSize?: number): SimulatedFleet {
		return new SimulatedFleet(size, cellSize);
	}

	readonly clock = ManualClock.create({now: 10_000});
	readonly topic = MemoryTopic.create();
	readonly quarantines: PromptQuarantine[] = [];
	readonly mesh: SimulatedMesh;

	private constructor(size: number, cellSize?: number) {
		this.mesh = SimulatedMesh.create({
			size,
			...(cellSize === undefined ? {} : {cellSize}),
			clock: this.clock,
			deliver: (vm, link, message) => {
				this.quarantines[vm]!.receive(link, message as SuspicionMessage);
			},
		});
		for (let vm = 0; vm < size; vm++) {
			this.restart(vm);
		}
	}

	/** Number of messages sent. */
	get messages(): number {
		return this.mesh.messages;
	}

	/** Crashes a target under a request that an entry VM has sent after the crash before it. */
	async crash(vm: number, target: string, parts: readonly string[], {progress = 'begun'}: {progress?: 'begun' | 'waiting' | 'streaming'} = {}): Promise<void> {
		const sentMs = this.clock.now();
		await this.clock.advance(500);
		this.quarantines[vm]!.crashed(target, [{
			parts, progress, sentMs, brokenMs: this.clock.now(),
		}]);
		await this.clock.advance(100);
	}

	/** Links two entry VMs again, both of which tell what they know. */
	async relink(a: number, b: number): Promise<void> {
		this.quarantines[a]!.linkUp(this.mesh.link(a, b));
		this.quarantines[b]!.linkUp(this.mesh.link(b, a));
		await this.clock.advance(1000);
	}

	countQuarantined(parts: readonly string[]): number {
		return this.quarantines.filter(quarantine => quarantine.isQuarantined(parts)).length;
	}

	restart(vm: number): void {
		this.quarantines[vm] = PromptQuarantine.create({
			clock: this.clock, logger: silentLoggerFactory('targets'), writer: this.topic, mesh: () => this.mesh.at(vm),
		});
	}
}

const request = (path: string) => requestId({
	method: 'GET', path, caller: 'engravers', body: Buffer.alloc(0),
});

describe('PromptQuarantine', () => {
	it.each([9, 200])('quarantines at all of %d entry VMs after crashes at two of them, with a bounded number of messages', async size => {
		const fleet = SimulatedFleet.create(size);
		await fleet.crash(1, 'e-1', ['dead', 'a']);
		expect([fleet.countQuarantined(['dead']), fleet.messages <= 2 * size]).toEqual([0, true]);
		await fleet.crash(size - 1, 'e-2', ['dead', 'b']);
		expect([fleet.countQuarantined(['dead', 'x']), fleet.countQuarantined(['a', 'b']), fleet.messages <= 4 * size]).toEqual([size, 0, true]);
	});

	// Guards against sound requests that are rejected for an hour at entry VMs that have not seen the answer.
	it('releases a part at all entry VMs once its crashes are explained and one of them has had an answer', async () => {
		const fleet = SimulatedFleet.create(9);
		fleet.quarantines[3]!.answered(['shared']);
		await fleet.clock.advance(10_000);
		await fleet.crash(1, 'e-1', ['shared', 'a']);
		await fleet.crash(2, 'e-2', ['shared', 'dead']);
		expect(fleet.countQuarantined(['shared'])).toBe(9);
		await fleet.crash(1, 'e-3', ['dead', 'b']);
		expect([fleet.countQuarantined(['shared']), fleet.countQuarantined(['dead'])]).toEqual([0, 9]);
	});

	// Guards against entry VMs that do not learn of the later crashes of a quarantined set, which explain those of a sound part.
	it('releases a part at all entry VMs that came along at the ninth and tenth crash of a deadly one', async () => {
		const fleet = SimulatedFleet.create(9);
		fleet.quarantines[3]!.answered(['shared']);
		await fleet.clock.advance(10_000);
		for (let index = 0; index < 8; index++) {
			await fleet.crash(1, `e-${index}`, ['dead']);
		}

		for (const vm of [4, 5]) {
			const sentMs = fleet.clock.now();
			await fleet.clock.advance(500);
			fleet.quarantines[vm]!.crashed(`late-${vm}`, [['shared', `own-${vm}`], ['dead']].map(parts => ({
				parts, progress: 'begun', sentMs, brokenMs: sentMs + 500,
			})));
			await fleet.clock.advance(200);
		}

		expect([fleet.countQuarantined(['shared']), fleet.countQuarantined(['dead'])]).toEqual([0, 9]);
	});

	it.each([9, 200])('clears a part at all of %d entry VMs when one of them has an answer, with a bounded number of messages', async size => {
		const fleet = SimulatedFleet.create(size);
		await fleet.crash(1, 'e-1', ['shared', 'dead']);
		await fleet.crash(2, 'e-2', ['shared', 'dead']);
		const before = fleet.messages;
		fleet.quarantines[size - 1]!.answered(['shared', 'own']);
		await fleet.clock.advance(200);
		expect([fleet.countQuarantined(['dead']), fleet.countQuarantined(['shared', 'x']), fleet.messages - before <= 2 * size]).toEqual([size, 0, true]);
	});

	it('does not suspect a part that another entry VM has seen in an answer shortly before', async () => {
		const fleet = SimulatedFleet.create(9);
		fleet.quarantines[5]!.answered(['shared']);
		await fleet.crash(1, 'e-1', ['shared', 'dead']);
		await fleet.crash(2, 'e-2', ['shared']);
		expect(fleet.countQuarantined(['shared'])).toBe(0);
	});

	// Guards against crashes that count as one although a peer has told of the first, and against one crash that counts twice.
	it.each([[200, 1], [5, 0]])('tells a crash from the one before by a connection made %d ms after the target refused one, once a peer has told of that one', async (connectedMs, expected) => {
		const fleet = SimulatedFleet.create(2);
		const crash = (vm: number, sentMs: number, aliveMs?: number) => {
			fleet.quarantines[vm]!.crashed('e-1', [{
				parts: ['dead'], progress: 'begun', sentMs, brokenMs: sentMs + 5, aliveMs,
			}]);
		};

		const startMs = fleet.clock.now();
		crash(0, startMs - 105);
		await fleet.clock.advance(300);
		crash(1, startMs + 210, startMs + connectedMs);
		expect(fleet.quarantines[1]!.size).toBe(expected);
	});

	it('suspects requests that only waited less than one whose response had begun', async () => {
		const fleet = SimulatedFleet.create(1);
		const now = fleet.clock.now();
		const request = (parts: string[], progress: 'begun' | 'waiting') => ({
			parts, progress, sentMs: now, brokenMs: now,
		});
		fleet.quarantines[0]!.crashed('e-1', [request(['a'], 'waiting'), request(['dead'], 'begun')]);
		fleet.quarantines[0]!.crashed('e-2', [request(['a'], 'waiting'), request(['dead'], 'begun')]);
		expect([fleet.countQuarantined(['dead']), fleet.countQuarantined(['a'])]).toEqual([1, 0]);
	});

	it('tells requests in progress that they are quarantined', async () => {
		const fleet = SimulatedFleet.create(9);
		let calls = 0;
		const count = () => {
			calls++;
		};

		const end = fleet.quarantines[8]!.watch(() => ['dead', 'x'], count);
		fleet.quarantines[8]!.watch(() => ['sound'], count);
		await fleet.crash(1, 'e-1', ['dead']);
		await fleet.crash(2, 'e-2', ['dead']);
		end();
		expect(calls).toBe(1);
	});

	it('gives a restarted entry VM the quarantined parts from the store and from its leader', async () => {
		const fleet = SimulatedFleet.create(9);
		await fleet.crash(1, 'e-1', ['dead']);
		await fleet.crash(2, 'e-2', ['dead']);
		for (const vm of [3, 4]) {
			fleet.restart(vm);
		}

		expect(fleet.countQuarantined(['dead'])).toBe(7);
		fleet.quarantines[3]!.applyRecords(fleet.topic.all());
		fleet.quarantines[0]!.linkUp(fleet.mesh.link(0, 4));
		await fleet.clock.advance(50);
		expect(fleet.countQuarantined(['dead'])).toBe(9);
	});

	it('writes quarantined parts to the store once it is back, and removes those that are cleared', async () => {
		const fleet = SimulatedFleet.create(9);
		fleet.quarantines[0]!.start();
		fleet.topic.isDown = true;
		await fleet.crash(1, 'e-1', ['a', 'dead']);
		await fleet.crash(2, 'e-2', ['a', 'dead']);
		fleet.topic.isDown = false;
		await fleet.clock.advance(3000);
		const [first] = fleet.topic.records.keys();
		fleet.quarantines[5]!.answered(['a']);
		await fleet.clock.advance(3000);
		expect([fleet.topic.records.size, fleet.topic.records.has(first!)]).toEqual([1, false]);
		fleet.quarantines[5]!.answered(['dead']);
		await fleet.clock.advance(3000);
		expect(fleet.topic.records.size).toBe(0);
		fleet.quarantines[0]!.close();
	});

	it('lifts a quarantine whose record is removed, and ignores a record that describes none', async () => {
		const fleet = SimulatedFleet.create(1);
		await fleet.crash(0, 'e-1', ['dead']);
		await fleet.crash(0, 'e-2', ['dead']);
		const [key] = fleet.topic.records.keys();
		fleet.quarantines[0]!.applyRecords([{key: 'other', value: new TextEncoder().encode('{"parts":3}')}]);
		expect(fleet.countQuarantined(['dead'])).toBe(1);
		fleet.quarantines[0]!.applyRecords([{key: key!, value: undefined}]);
		expect(fleet.countQuarantined(['dead'])).toBe(0);
	});

	// Guards against a quarantine that is lost for entry VMs that start later: the store came back from a copy of before it.
	it('writes the records again that a restored store has lost, and removes those that have come back', async () => {
		const fleet = SimulatedFleet.create(1);
		const quarantine = fleet.quarantines[0]!;
		await fleet.crash(0, 'e-1', ['sound']);
		await fleet.crash(0, 'e-2', ['sound']);
		const copy = fleet.topic.all();
		quarantine.applySnapshot(copy, 'continued');
		quarantine.start();
		quarantine.answered(['sound']);
		await fleet.crash(0, 'e-3', ['dead']);
		await fleet.crash(0, 'e-4', ['dead']);
		await fleet.clock.advance(3000);
		const written = [...fleet.topic.records.keys()];
		fleet.topic.records.clear();
		fleet.topic.records.set(copy[0]!.key, copy[0]!.value!);
		quarantine.applySnapshot(copy, 'restored');
		await fleet.clock.advance(3000);
		expect([...fleet.topic.records.keys()]).toEqual(written);
		expect([fleet.countQuarantined(['dead']), fleet.countQuarantined(['sound'])]).toEqual([1, 0]);
		quarantine.close();
	});

	it('lifts a quarantine whose record another entry VM has removed while records were dropped', async () => {
		const fleet = SimulatedFleet.create(1);
		await fleet.crash(0, 'e-1', ['dead']);
		await fleet.crash(0, 'e-2', ['dead']);
		await fleet.clock.advance(100);
		fleet.quarantines[0]!.applySnapshot([], 'continued');
		expect(fleet.countQuarantined(['dead'])).toBe(0);
	});

	it.each([9, 200])('quarantines one request at all of %d entry VMs after crashes at three of them, with a bounded number of messages', async size => {
		const fleet = SimulatedFleet.create(size);
		const dead = [request('/dead')];
		await fleet.crash(1, 'e-1', dead, {progress: 'waiting'});
		await fleet.crash(size - 1, 'e-2', dead, {progress: 'waiting'});
		expect([fleet.countQuarantined(dead), fleet.messages <= 4 * size]).toEqual([0, true]);
		await fleet.crash(Math.floor(size / 2), 'e-3', dead, {progress: 'waiting'});
		expect([fleet.countQuarantined(dead), fleet.countQuarantined([request('/sound')]), fleet.messages <= 6 * size]).toEqual([size, 0, true]);
		expect(fleet.quarantines[0]!.causeOf(dead)).toBe('request');
	});

	it.each([9, 200])('keeps a request quarantined at all of %d entry VMs whose shared parts are answered at one of them', async size => {
		const fleet = SimulatedFleet.create(size);
		await fleet.crash(1, 'e-1', ['shared', request('/dead')]);
		await fleet.crash(2, 'e-2', ['shared', request('/dead')]);
		fleet.quarantines[size - 1]!.answered(['shared', request('/sound')]);
		await fleet.clock.advance(200);
		expect([fleet.countQuarantined(['shared', request('/dead')]), fleet.countQuarantined(['shared', request('/sound')])]).toEqual([size, 0]);
	});

	it('keeps a request quarantined after a restart from the store', async () => {
		const fleet = SimulatedFleet.create(1);
		for (const target of ['e-1', 'e-2', 'e-3']) {
			await fleet.crash(0, target, [request('/dead')], {progress: 'waiting'});
		}

		const records = fleet.topic.all();
		fleet.restart(0);
		fleet.quarantines[0]!.applyRecords(records);
		expect(fleet.quarantines[0]!.causeOf([request('/dead')])).toBe('request');
	});

	// Guards against a message that a newly linked peer rejects, with the link, because it names too many suspicions.
	it('sends more suspicions to a newly linked peer than fit in one message', async () => {
		const fleet = SimulatedFleet.create(2);
		const quarantine = PromptQuarantine.create({
			clock: fleet.clock, logger: silentLoggerFactory('targets'), writer: fleet.topic, mesh: () => undefined,
		});
		for (let index = 0; index < 500; index++) {
			quarantine.crashed(`e-${index}`, [`/${index}`, `/other-${index}`].map(path => ({
				parts: [request(path)], progress: 'waiting', sentMs: 0, brokenMs: 10,
			})));
		}

		for (let index = 0; index < 200; index++) {
			quarantine.crashed(`p-${index}`, [{
				parts: [`part-${index}`], progress: 'begun', sentMs: 0, brokenMs: 10,
			}]);
		}

		const messages: SuspicionMessage[] = [];
		quarantine.linkUp({
			send(message: SuspicionMessage) {
				messages.push(message);
				return true;
			},
		} as unknown as Link);
		expect([messages.reduce((sum, {suspicions}) => sum + suspicions.length, 0), messages.every(message => decodeLinkMessage(encodeLinkMessage(message)) !== undefined)]).toEqual([600, true]);
	});

	// Guards against a deadly request that is never suspected, because too many others wait at the targets that it crashes.
	it.each(['first', 'last'])('finds the deadly request among more than it suspects at a crash, the others new at each, when it breaks %s', position => {
		const fleet = SimulatedFleet.create(1);
		for (let index = 0; index < 3; index++) {
			const now = 10_000 * index;
			const waiting = Array.from({length: 40}, (_, number) => ({
				parts: [request(`/${index}/${number}`)], progress: 'waiting' as const, sentMs: now + number, brokenMs: now + 100,
			}));
			const dead = {
				parts: [request('/dead')], progress: 'waiting' as const, sentMs: now + (index === 0 ? 90 : 0), brokenMs: now + 100,
			};
			fleet.quarantines[0]!.crashed(`e-${index}`, position === 'first' ? [dead, ...waiting] : [...waiting, dead]);
		}

		expect([fleet.countQuarantined([request('/dead')]), fleet.quarantines[0]!.size]).toEqual([1, 1]);
	});
});

// Guards against an entry VM that keeps rejecting a sound part, since it had no link while the others released it.
describe('PromptQuarantine after links were lost', () => {
	/** A fleet without a store in which both parts are quarantined, and `shared` is released except at the entry VMs in `cutOff`. */
	const createDivided = async ({size, cellSize, releasing, cutOff}: {size: number; cellSize?: number; releasing: number; cutOff: readonly number[]}) => {
		const fleet = SimulatedFleet.create(size, cellSize);
		fleet.topic.isDown = true;
		fleet.quarantines[releasing]!.answered(['shared']);
		await fleet.clock.advance(10_000);
		await fleet.crash(0, 'e-1', ['shared', 'a']);
		await fleet.crash(size - 1, 'e-2', ['shared', 'dead']);
		for (const vm of cutOff) {
			fleet.mesh.cutOff.add(vm);
		}

		await fleet.crash(releasing, 'e-3', ['dead', 'b']);
		expect([fleet.countQuarantined(['shared']), fleet.countQuarantined(['dead'])]).toEqual([cutOff.length, size - cutOff.length]);
		fleet.mesh.cutOff.clear();
		return fleet;
	};

	it.each([[0, 1], [1, 0]])('releases a part whose crashes entry VM %d has found explained while %d had no link', async (releasing, other) => {
		const fleet = await createDivided({size: 2, releasing, cutOff: [other]});
		await fleet.relink(releasing, other);
		expect([fleet.countQuarantined(['shared']), fleet.countQuarantined(['dead'])]).toEqual([0, 2]);
	});

	it('releases a part at the members of another cell, with a bounded number of messages', async () => {
		const fleet = await createDivided({
			size: 10, cellSize: 5, releasing: 2, cutOff: [5, 6, 7, 8, 9],
		});
		const before = fleet.messages;
		await fleet.relink(0, 5);
		expect([fleet.countQuarantined(['shared']), fleet.countQuarantined(['dead']), fleet.messages - before <= 60]).toEqual([0, 10, true]);
	});

	it('releases a part at the next link when the one before was lost halfway, and nothing without a message', async () => {
		const fleet = await createDivided({size: 2, releasing: 0, cutOff: [1]});
		fleet.quarantines[1]!.linkUp(fleet.mesh.link(1, 0));
		await fleet.clock.advance(30);
		fleet.mesh.cutOff.add(1);
		await fleet.clock.advance(5000);
		expect(fleet.countQuarantined(['shared'])).toBe(1);
		fleet.mesh.cutOff.clear();
		await fleet.relink(0, 1);
		expect(fleet.countQuarantined(['shared'])).toBe(0);
	});

	it('releases a part that was answered after its crashes at a peer that does not lead its cell', async () => {
		const fleet = SimulatedFleet.create(3);
		fleet.topic.isDown = true;
		await fleet.crash(0, 'e-1', ['sound']);
		await fleet.crash(1, 'e-2', ['sound']);
		fleet.mesh.cutOff.add(2);
		fleet.quarantines[1]!.answered(['sound']);
		await fleet.clock.advance(5000);
		expect(fleet.countQuarantined(['sound'])).toBe(1);
		fleet.mesh.cutOff.clear();
		await fleet.relink(1, 2);
		expect(fleet.countQuarantined(['sound'])).toBe(0);
	});

	it('keeps a part quarantined that was answered only long before its crashes', async () => {
		const fleet = SimulatedFleet.create(2);
		fleet.topic.isDown = true;
		fleet.quarantines[0]!.answered(['turned']);
		await fleet.clock.advance(10_000);
		fleet.mesh.cutOff.add(1);
		await fleet.crash(1, 'e-1', ['turned']);
		await fleet.crash(1, 'e-2', ['turned']);
		fleet.mesh.cutOff.clear();
		await fleet.relink(0, 1);
		expect(fleet.countQuarantined(['turned'])).toBe(2);
	});

	// Guards against a message that the peer rejects, with the link, because it names too many answers.
	it('replies with more answers than fit in one message', () => {
		const parts = Array.from({length: 4500}, (_, index) => `part-${index}`);
		const messages: SuspicionMessage[] = [];
		const link = {
			peer: {name: 'vm-1', zone: 'zone-0'},
			send(message: SuspicionMessage) {
				messages.push(message);
				return true;
			},
		} as unknown as Link;
		const mesh = SimulatedMesh.create({size: 2, clock: ManualClock.create({now: 0}), deliver: () => undefined});
		const member = PromptQuarantine.create({
			clock: ManualClock.create({now: 10_000}), logger: silentLoggerFactory('targets'), writer: MemoryTopic.create(), mesh: () => mesh.at(1),
		});
		member.answered(parts);
		member.receive(link, {
			type: 'prompt-suspicions', suspicions: [0, 1500, 3000].map(from => [parts.slice(from, from + 1500), [['e-1', 1], ['e-2', 1]], 1000, 500, 500]), answered: [],
		});
		expect([messages.reduce((sum, {answered}) => sum + answered.length, 0), messages.every(message => decodeLinkMessage(encodeLinkMessage(message)) !== undefined)]).toEqual([4500, true]);
	});
});
