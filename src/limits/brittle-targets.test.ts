import {describe, expect, it} from 'vitest';
import {countPeak} from '../../test/support/count-peak.js';
import {SimulatedMesh} from '../../test/support/simulated-mesh.js';
import {ManualClock, type Ms} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {Random} from '../random/index.js';
import {RelayTarget} from '../registry/index.js';
import {
	BrittleTargets, type BrittleMesh, type BrittleMessage, type BrittleSlot,
} from './brittle-targets.js';

const slots = 6;
const perSecond = 9;

/** Entry VMs that send far more to one brittle target than it can serve. It has `capacity` places and rejects all else. */
class Fleet {
	readonly clock = ManualClock.create({now: 10_000});
	readonly random = Random.create(1);
	readonly mesh: SimulatedMesh;
	readonly vms: BrittleTargets[] = [];
	readonly target = RelayTarget.create({
		id: 'e-1', service: 'engines', address: '127.0.0.1:1', zone: 'zone-0', slots, isDraining: false, startedMs: 1,
	});

	readonly rejectedMs: Ms[] = [];
	served = 0;
	running = 0;
	capacity = slots;
	requestMs: Ms = 100;
	/** Entry VMs without a coordinator. */
	readonly lonely = new Set<number>();
	/** Number of entry VMs that each lead a part of the others. */
	leaders = 1;

	constructor(readonly size: number) {
		this.mesh = SimulatedMesh.create({
			size,
			clock: this.clock,
			deliver: (vm, link, message) => {
				this.vms[vm]!.receive(link, message as BrittleMessage);
			},
		});
		for (let vm = 0; vm < size; vm++) {
			this.start(vm);
		}
	}

	start(vm: number): void {
		const {clock} = this;
		this.vms[vm] = BrittleTargets.create({
			clock, logger: silentLoggerFactory('targets'), random: Random.create(vm), self: `i-${vm}`, mesh: () => this.lonely.has(vm) ? undefined : this.#meshOf(vm), share: () => 1, entryVms: () => this.size,
		});
	}

	#meshOf(vm: number): BrittleMesh {
		const leader = vm % this.leaders;
		return {...this.mesh.at(vm), ...(leader > 0 ? {coordinatorOf: () => leader === vm ? 'self' : this.mesh.link(vm, leader)} : {})};
	}

	/** Offers four times of what the target can serve, at random entry VMs. */
	async run(durationMs: Ms): Promise<void> {
		const {clock, random} = this;
		for (const endMs = clock.now() + durationMs; clock.now() < endMs;) {
			const offered = 4 * slots * 10 / 100;
			for (let sent = 0; sent < offered; sent++) {
				void this.#send(Math.floor(random.float() * this.size));
			}

			await clock.advance(10);
		}
	}

	get mostRejected(): number {
		return countPeak(this.rejectedMs, 1000);
	}

	async #send(vm: number): Promise<void> {
		const {clock, target} = this;
		const brittle = this.vms[vm]!;
		const sentMs = clock.now();
		if (brittle.isDenied(target)) {
			return;
		}

		const slot = brittle.isBrittle(target) ? await brittle.reserve(target) : undefined;
		if (slot && 'retryAfterMs' in slot) {
			return;
		}

		const isRejected = this.running >= this.capacity;
		if (isRejected) {
			this.rejectedMs.push(clock.now());
			await clock.sleep(1);
		} else {
			this.running++;
			await clock.sleep(this.requestMs);
			this.running--;
			this.served++;
		}

		brittle.observe(target, {perSecond, sentMs});
		slot?.release(isRejected);
	}
}

describe('BrittleTargets', () => {
	// Guards against targets that crash in a burst above their capacity, as each entry VM tries them by itself.
	it.each([9, 200])('keep what a target rejects below its bound with %d entry VMs, and use it', async size => {
		const fleet = new Fleet(size);
		await fleet.run(4000);
		fleet.rejectedMs.length = 0;
		fleet.served = 0;
		await fleet.run(4000);
		expect(fleet.mostRejected).toBeLessThanOrEqual(perSecond);
		expect(fleet.served).toBeGreaterThan(4 * slots * 10 * 0.4);
	});

	// Guards against targets that crash since several leaders at once grant all of their slots each.
	it.each([[9, 1], [200, 1], [9, 2], [200, 2], [9, 3], [200, 3]])('keep the bound while a target slows down and serves less, with %d entry VMs and %d leaders at once', async (size, leaders) => {
		const fleet = new Fleet(size);
		await fleet.run(4000);
		fleet.rejectedMs.length = 0;
		fleet.leaders = leaders;
		await fleet.run(leaders > 1 ? 4000 : 0);
		fleet.requestMs = 400;
		await fleet.run(2000);
		fleet.capacity = slots - 2;
		await fleet.run(3000);
		expect(fleet.mostRejected).toBeLessThanOrEqual(perSecond);
	});

	it.each([9, 200])('keep the bound while one coordinator after the other is lost, with %d entry VMs', async size => {
		const fleet = new Fleet(size);
		await fleet.run(4000);
		fleet.rejectedMs.length = 0;
		for (let round = 0; round < 4; round++) {
			fleet.start(0);
			fleet.vms[0]!.observe(fleet.target, {perSecond, sentMs: fleet.clock.now()});
			await fleet.run(900);
		}

		fleet.mesh.lost.add(0);
		await fleet.run(2000);

		expect(fleet.mostRejected).toBeLessThanOrEqual(perSecond);
	});

	it.each([9, 200])('keep the bound with shares while no coordinator replies, with %d entry VMs', async size => {
		const fleet = new Fleet(size);
		await fleet.run(4000);
		fleet.rejectedMs.length = 0;
		for (let vm = 0; vm < size; vm++) {
			fleet.lonely.add(vm);
		}

		fleet.capacity = 0;
		await fleet.run(5000);
		expect(fleet.mostRejected).toBeLessThanOrEqual(perSecond);
		expect(fleet.rejectedMs.length).toBeGreaterThan(0);
	});

	it('end with a response without the header, not at once after one with it, and cost nothing after that', async () => {
		const fleet = new Fleet(9);
		const [, vm] = fleet.vms;
		vm!.observe(fleet.target, {perSecond, sentMs: fleet.clock.now()});
		await fleet.clock.advance(500);
		expect(fleet.vms.every(other => other.isBrittle(fleet.target))).toBe(true);
		vm!.observe(fleet.target, {perSecond: undefined, sentMs: fleet.clock.now()});
		expect(vm!.hasAny).toBe(true);
		await fleet.clock.advance(1000);
		vm!.observe(fleet.target, {perSecond: undefined, sentMs: fleet.clock.now()});
		await fleet.clock.advance(100);
		expect(fleet.vms.some(other => other.hasAny)).toBe(false);
	});

	// Guards against a faulty peer that takes a target out of use for any time.
	it('bound the time for which a peer denies a target', async () => {
		const fleet = new Fleet(2);
		fleet.vms[1]!.observe(fleet.target, {perSecond, sentMs: fleet.clock.now()});
		await fleet.clock.advance(100);
		const reserving = fleet.vms[1]!.reserve(fleet.target);
		fleet.vms[1]!.receive(fleet.mesh.link(1, 0), {
			type: 'slot-reply', id: 1, isGranted: false, retryAfterMs: 1e12,
		});
		expect(await reserving).toEqual({retryAfterMs: 10_000});
	});

	// Guards against memory that grows with each start of a target, and against slots in use or shares of the bound that are forgotten.
	it('forget the starts of targets that are not used any more', async () => {
		const fleet = new Fleet(1);
		const [brittle] = fleet.vms;
		const reserve = async (startedMs: number) => brittle!.reserve(RelayTarget.create({...fleet.target.entry, startedMs}));
		brittle!.observe(fleet.target, {perSecond: 0.0002, sentMs: fleet.clock.now()});
		await reserve(2);
		fleet.lonely.add(0);
		await reserve(3);
		fleet.lonely.clear();
		for (let startedMs = 4; startedMs < 104; startedMs++) {
			const slot = await reserve(startedMs);
			expect(slot).toHaveProperty('release');
			(slot as BrittleSlot).release(false);
			await fleet.clock.advance(1000);
		}

		expect(brittle!.size).toBe(2 + 30);
	});

	it.each([Number.NaN, -1, Infinity])('ignore a bound of %d', perSecond => {
		const fleet = new Fleet(1);
		fleet.vms[0]!.observe(fleet.target, {perSecond, sentMs: 0});
		expect(fleet.vms[0]!.hasAny).toBe(false);
	});
});
