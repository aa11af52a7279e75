import {describe, expect, it} from 'vitest';
import {CuttableMesh} from '../../test/support/cuttable-mesh.js';
import {ManualClock, type Ms} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {Random} from '../random/index.js';
import {RelayTarget} from '../registry/index.js';
import {ColdTargets, type ColdMessage} from './cold-targets.js';

const coldStart = {durationMs: 3000, perSecond: 11};
const entry = {
	service: 'engines', slots: 4, isDraining: false, startedMs: 1,
};

/** Entry VMs in three cells that know the same targets, one in each cell, and have run for long. */
async function setUp({size = 6, isDeclared = true} = {}) {
	const clock = ManualClock.create({now: 0});
	const vms: ColdTargets[] = [];
	const mesh = CuttableMesh.create({
		size, cellSize: size / 3, clock, random: Random.create(1), deliver(vm, link, message) {
			vms[vm]!.receive(link, message as ColdMessage);
		}, onLost(vm, link) {
			vms[vm]!.linkLost(link);
		},
	});
	const targets = Array.from({length: size}, () => ['e-0', 'e-1', 'e-2'].map((id, zone) => RelayTarget.create({
		...entry, id, address: `127.0.0.1:${zone + 1}`, zone: `zone-${zone}`,
	})));
	const start = (vm: number) => {
		vms[vm] = ColdTargets.create({
			clock, logger: silentLoggerFactory('targets'), self: {incarnation: `i-${vm}`, zone: mesh.zoneOf(vm)}, mesh: () => ({...mesh.at(vm), cellSize: size / 3, isSettled: vms.length === size}), coldStart: () => isDeclared ? coldStart : undefined, bound: {overage: 1.5, slack: 5}, targets: {get: id => targets[vm]!.find(target => target.id === id), all: () => targets[vm]!},
		});
	};

	for (let vm = 0; vm < size; vm++) {
		start(vm);
	}

	await clock.advance(10_000);
	const knowing = (id: number) => vms.filter((cold, vm) => cold.isCold(targets[vm]![id]!)).length;
	return {
		clock, vms, mesh, targets, start, knowing,
	};
}

describe('ColdTargets', () => {
	it('tells the fleet of what one entry VM sees, and ends with the time that the target states', async () => {
		const {clock, vms, targets, knowing} = await setUp();
		vms[5]!.seeHealth(targets[5]![0]!, {result: 'alive', coldMs: 1500});
		await clock.advance(100);
		expect([knowing(0), knowing(1), vms[0]!.size]).toEqual([6, 0, 1]);
		await clock.advance(1500);
		expect(knowing(0)).toBe(0);
	});

	// Guards against entry VMs that send to a cold target as to a warm one, since its health path does not respond to the one that has read its entry.
	it('tells the fleet of a claim whose target does not respond to a health check', async () => {
		const {clock, vms, targets, knowing} = await setUp();
		const target = targets[0]![0]!;
		vms[0]!.seeEntry(target, {...target.entry, coldMs: 3000}, {isStart: false, isFromList: true});
		vms[0]!.seeHealth(target, {result: 'silent', coldMs: undefined}, clock.now());
		await clock.advance(100);
		expect(knowing(0)).toBe(6);
	});

	it.each(['start', 'entry'] as const)('treats a target as cold after the evidence "%s"', async source => {
		const {vms, targets} = await setUp();
		const target = targets[0]![1]!;
		vms[0]!.seeEntry(target, {...target.entry, coldMs: source === 'entry' ? 900 : 0}, {isStart: source === 'start'});
		expect(vms[0]!.isCold(target)).toBe(true);
	});

	// Guards against an entry VM that reads an old entry at its start, rejects requests for warm targets and makes them cold for the fleet.
	it.each([[0, 0], [800, 6]])('asks the health path about what an entry tells, and tells the fleet only then (cold for %d ms)', async (coldMs, count) => {
		const {clock, vms, targets, knowing} = await setUp();
		const target = targets[0]![0]!;
		vms[0]!.seeEntry(target, {...target.entry, coldMs: 3000}, {isStart: false, isFromList: true});
		await clock.advance(100);
		expect([vms[0]!.isCold(target), vms[0]!.isClaimed(target), knowing(0)]).toEqual([true, true, 1]);
		vms[0]!.seeHealth(target, {result: 'alive', coldMs}, clock.now());
		await clock.advance(100);
		expect([vms[0]!.isClaimed(target), knowing(0)]).toEqual([false, count]);
		await clock.advance(800);
		expect(knowing(0)).toBe(0);
	});

	// Guards against a target that stays cold at one entry VM as long as that one reads lists with the same old entry.
	it.each([['after an evacuation', true], ['that a health path has refuted', false]] as const)('neither prolongs nor restarts a cold phase %s by an entry that it has read before', async (_, isEvacuated) => {
		const {clock, vms, targets} = await setUp();
		const target = targets[0]![0]!;
		const readList = () => {
			vms[0]!.seeEntry(target, {...target.entry, coldMs: 3000}, {isStart: false, isFromList: true});
		};

		if (isEvacuated) {
			vms[0]!.zoneReopened('zone-0');
		}

		readList();
		expect(vms[0]!.isCold(target)).toBe(true);
		vms[0]!.seeHealth(target, {result: 'alive', coldMs: 0}, clock.now());
		const coldAfterMs: Ms[] = [];
		for (let atMs = 1500; atMs <= 12_000; atMs += 1500) {
			await clock.advance(1500);
			readList();
			if (vms[0]!.isCold(target)) {
				coldAfterMs.push(atMs);
			}
		}

		expect(coldAfterMs).toEqual(isEvacuated ? [1500, 3000, 4500] : []);
	});

	it('treats a target as cold again after an entry of a newer start, and after one that was written again', async () => {
		const {clock, vms, targets} = await setUp();
		const target = targets[0]![0]!;
		const isColdAfter = async (entry: {coldMs: number; startedMs: number}, isFromList: boolean) => {
			await clock.advance(6000);
			vms[0]!.seeEntry(target, {...target.entry, ...entry}, {isStart: false, isFromList});
			return vms[0]!.isCold(target);
		};

		expect(await isColdAfter({coldMs: 3000, startedMs: 1}, true)).toBe(true);
		expect(await isColdAfter({coldMs: 3000, startedMs: 1}, true)).toBe(false);
		expect(await isColdAfter({coldMs: 3000, startedMs: 2}, true)).toBe(true);
		expect(await isColdAfter({coldMs: 3000, startedMs: 2}, false)).toBe(true);
		expect(await isColdAfter({coldMs: 2900, startedMs: 2}, true)).toBe(true);
		expect(await isColdAfter({coldMs: 3000, startedMs: 1}, true)).toBe(false);
	});

	it('treats the targets of a zone as cold after its evacuation', async () => {
		const {clock, vms, targets} = await setUp();
		vms[0]!.zoneReopened('zone-1');
		expect(targets[0]!.map(target => vms[0]!.isCold(target))).toEqual([false, true, false]);
		await clock.advance(5000);
		expect(vms[0]!.size).toBe(0);
	});

	it('withdraws requests that wait for a connection when a target becomes cold', async () => {
		const {vms, targets} = await setUp();
		let withdrawn = 0;
		targets[0]![0]!.watchUnsent(() => {
			withdrawn++;
		});
		vms[0]!.observe(targets[0]![0]!, {source: 'health', remainingMs: 100});
		expect(withdrawn).toBe(1);
	});

	it('treats a target that refuses connections as cold until some time after it responds again', async () => {
		const {clock, vms, targets, knowing} = await setUp();
		vms[0]!.recordFailed(targets[0]![0]!, 'refused');
		await clock.advance(20_000);
		expect([vms[0]!.isCold(targets[0]![0]!), knowing(0)]).toEqual([true, 1]);
		vms[0]!.recordReached(targets[0]![0]!);
		await clock.advance(100);
		expect(knowing(0)).toBe(6);
		await clock.advance(5000);
		expect(knowing(0)).toBe(0);
	});

	// Guards against a fleet that has only cold targets after a partition between zones, in which they were warm.
	it('keeps what it finds about the reach of targets of other zones to itself', async () => {
		const {clock, vms, targets, knowing} = await setUp();
		vms[0]!.recordFailed(targets[0]![1]!, 'refused');
		vms[0]!.recordReached(targets[0]![1]!);
		await clock.advance(100);
		expect([vms[0]!.isCold(targets[0]![1]!), knowing(1)]).toEqual([true, 1]);
	});

	// Guards against an entry VM that rejects all requests for some seconds after it was cut off from all targets.
	it('takes no target for restarted that was out of reach while this entry VM was cut off', async () => {
		const {vms, targets} = await setUp();
		for (const target of targets[0]!) {
			vms[0]!.recordFailed(target, 'refused');
		}

		vms[0]!.forgetUnreachable();
		for (const target of targets[0]!) {
			vms[0]!.recordReached(target);
		}

		expect(vms[0]!.size).toBe(0);
	});

	// Guards against an entry VM that has just started and sends to a target that became cold before.
	it('treats all targets as cold until its peers have told which ones are', async () => {
		const {clock, vms, mesh, targets, start} = await setUp();
		vms[0]!.observe(targets[0]![0]!, {source: 'health', remainingMs: 3000});
		start(5);
		expect(vms[5]!.size).toBe(3);
		vms[4]!.linkUp(mesh.link(4, 5));
		await clock.advance(250);
		expect([vms[5]!.size, vms[5]!.isCold(targets[5]![0]!)]).toEqual([1, true]);
	});

	// Guards against changes for deployments whose services declare no cold start.
	it('changes nothing without a declared cold start', async () => {
		const {clock, vms, targets, knowing} = await setUp({isDeclared: false});
		vms[0]!.seeEntry(targets[0]![0]!, {...targets[0]![0]!.entry, coldMs: 900}, {isStart: true});
		vms[0]!.recordFailed(targets[0]![0]!, 'refused');
		vms[0]!.zoneReopened('zone-0');
		await clock.advance(100);
		expect(knowing(0)).toBe(0);
	});
});

// Guards against requests that a target gets as a warm one by entry VMs that do not know yet, and as a cold one by others.
describe('a target that becomes cold under load', () => {
	it.each([1, 2, 3])('gets no more than the bound once its health path tells (seed %d)', async seed => {
		const {clock, vms, targets} = await setUp({size: 24});
		const random = Random.create(seed);
		const sentMs: Ms[] = [];
		const send = async (vm: number) => {
			const target = targets[vm]![0]!;
			if (vms[vm]!.isCold(target)) {
				const permit = await vms[vm]!.reserve(target, 400);
				if (!('sendByMs' in permit)) {
					return;
				}

				await clock.sleep(permit.waitMs + (random.float() * 100));
			}

			sentMs.push(clock.now());
		};

		// A target of this load gets 0.6 requests each 50 ms as a warm one.
		for (let step = 0; step < 160; step++) {
			if (step === 40 || step === 80 || step === 120) {
				vms[3]!.seeHealth(targets[3]![0]!, {result: 'alive', coldMs: 3000 - (random.float() * 500)});
			}

			for (let vm = 0; vm < 24; vm++) {
				if (vms[vm]!.isCold(targets[vm]![0]!) || random.float() < 0.025) {
					void send(vm);
				}
			}

			await clock.advance(50);
		}

		const coldFromMs = 10_000 + (40 * 50);
		const most = Math.max(...sentMs.filter(atMs => atMs >= coldFromMs - 500).map(from => sentMs.filter(atMs => atMs >= from && atMs < from + 1000).length));
		expect(most).toBeLessThanOrEqual(21.5);
		expect(sentMs.filter(atMs => atMs > coldFromMs + 1500).length).toBeGreaterThan(20);
	});
});
