import {describe, expect, it} from 'vitest';
import {countPeak} from '../../test/support/count-peak.js';
import {SimulatedMesh} from '../../test/support/simulated-mesh.js';
import {ManualClock} from '../clock/index.js';
import type {Link} from '../links/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {RelayTarget} from '../registry/index.js';
import {TargetLimits, type LimitMessage} from './target-limits.js';

const createTarget = (zone: string) => RelayTarget.create({
	id: 'e-1', service: 'engines', address: '127.0.0.1:1', zone, slots: 4, isDraining: false, startedMs: 1,
});

function setUp() {
	const clock = ManualClock.create({now: 1000});
	const target = createTarget('riga-a');
	const limits = TargetLimits.create({
		clock, logger: silentLoggerFactory('targets'), mesh: () => undefined, share: () => 1, targets: {get: () => target, all: () => [target]},
	});
	return {clock, limits, target};
}

describe('TargetLimits', () => {
	it('holds a limit for as long as responses to later requests name it', async () => {
		const {clock, limits, target} = setUp();
		limits.observe(target, {perSecond: 0.5, sentMs: 900});
		await clock.advance(100);
		limits.observe(target, {perSecond: undefined, sentMs: 950});
		expect(target.limit?.perSecond).toBe(0.5);
		limits.observe(target, {perSecond: undefined, sentMs: 1050});
		expect(target.limit).toBeUndefined();
	});

	it.each([Number.NaN, -1, -Infinity])('ignores a limit of %d', perSecond => {
		const {limits, target} = setUp();
		limits.observe(target, {perSecond: 2, sentMs: 900});
		limits.observe(target, {perSecond, sentMs: 1000});
		expect(target.limit?.perSecond).toBe(2);
	});

	// Guards against a target that gets no request any more after a single error while a place was asked for.
	it('asks for a place again after an error', async () => {
		const clock = ManualClock.create({now: 1000});
		const target = createTarget('riga-a');
		let isFailing = false;
		const limits = TargetLimits.create({
			clock, logger: silentLoggerFactory('targets'), mesh: () => undefined, targets: {get: () => target, all: () => [target]}, share() {
				if (isFailing) {
					throw new Error('thrown by the mesh');
				}

				return 1;
			},
		});
		limits.observe(target, {perSecond: 2, sentMs: 900});
		isFailing = true;
		await expect(limits.reserve(target, 0)).rejects.toThrow('thrown by the mesh');
		isFailing = false;
		await expect(limits.reserve(target, 1000)).resolves.toHaveProperty('waitMs');
	});

	it('takes zero as a limit, and a very large one as none', () => {
		const {limits, target} = setUp();
		limits.observe(target, {perSecond: 0, sentMs: 900});
		expect(target.limit?.perSecond).toBe(0);
		limits.observe(target, {perSecond: 1e9, sentMs: 1000});
		expect(target.limit).toBeUndefined();
	});
});

/** An entry VM that asks a peer for places, which replies when the test says so. */
function setUpWithPeer() {
	const clock = ManualClock.create({now: 1000});
	const target = createTarget('riga-a');
	const requests: Array<LimitMessage & {type: 'limit-request'}> = [];
	const link = {
		peer: {name: 'riga-2', zone: 'riga-a', incarnation: 'i'},
		send(message: LimitMessage) {
			if (message.type === 'limit-request') {
				requests.push(message);
			}

			return true;
		},
	} as unknown as Link;
	const limits = TargetLimits.create({
		clock,
		logger: silentLoggerFactory('targets'),
		mesh: () => ({
			leader: () => link, isInCell: () => true, broadcast: () => undefined, broadcastToLeaders: () => undefined, coordinatorOf: () => link,
		}),
		share: () => 1,
		targets: {get: () => target, all: () => [target]},
	});
	limits.observe(target, {perSecond: 2, sentMs: 900});
	const reply = (waitMs: number) => {
		limits.receive(link, {
			type: 'limit-reply', id: requests.at(-1)!.id, waitMs, retryAfterMs: 0,
		});
	};

	return {
		clock, limits, target, requests, reply,
	};
}

describe('TargetLimits of an entry VM that asks a peer', () => {
	// Guards against requests that wait for a place beyond their time and are then rejected as timed out.
	it('takes the time of the messages off the wait', async () => {
		const {clock, limits, target, reply} = setUpWithPeer();
		const reserving = limits.reserve(target, 1000);
		await clock.advance(200);
		reply(1000);
		expect(await reserving).toEqual({waitMs: 800});
		const second = limits.reserve(target, 1000);
		await clock.advance(200);
		reply(300);
		expect(await second).toEqual({waitMs: 300});
	});

	it('asks only for what is left of the time of a request that had to wait for the reply to another', async () => {
		const {clock, limits, target, requests, reply} = setUpWithPeer();
		const first = limits.reserve(target, 1000);
		const second = limits.reserve(target, 1000);
		await clock.advance(200);
		reply(100);
		await first;
		await clock.advance(0);
		expect(requests.map(({maxWaitMs}) => maxWaitMs)).toEqual([1000, 800]);
		await clock.advance(200);
		reply(800);
		expect(await second).toEqual({waitMs: 600});
	});

	it('gives no place whose reply comes after the time of the request', async () => {
		const {clock, limits, target, reply} = setUpWithPeer();
		const reserving = limits.reserve(target, 100);
		await clock.advance(200);
		reply(100);
		expect(await reserving).toEqual({retryAfterMs: 500});
	});
});

/** Entry VMs that know the same target with a limit, in the zone of one of them. */
class SimulatedFleet {
	static create(options: {size: number; perSecond: number; zone?: string}): SimulatedFleet {
		return new SimulatedFleet(options);
	}

	readonly clock = ManualClock.create({now: 10_000});
	readonly mesh: SimulatedMesh;
	readonly targets: RelayTarget[] = [];
	readonly limits: TargetLimits[] = [];
	/** Times at which requests were sent to the target. */
	readonly sentMs: number[] = [];

	private constructor({size, perSecond, zone = 'zone-0'}: {size: number; perSecond: number; zone?: string}) {
		const {clock} = this;
		this.mesh = SimulatedMesh.create({
			size,
			clock,
			deliver: (vm, link, message) => {
				this.limits[vm]!.receive(link, message as LimitMessage);
			},
		});
		for (let vm = 0; vm < size; vm++) {
			this.restart(vm, zone);
		}

		this.limits[size - 1]!.observe(this.targets[size - 1]!, {perSecond, sentMs: 9900});
	}

	/** Starts an entry VM that knows of no limit, in the place of an earlier one. */
	restart(vm: number, zone = 'zone-0'): void {
		const target = createTarget(zone);
		this.targets[vm] = target;
		this.limits[vm] = TargetLimits.create({
			clock: this.clock, logger: silentLoggerFactory('targets'), mesh: () => this.mesh.at(vm), share: () => 1, targets: {get: () => target, all: () => [target]},
		});
	}

	/** Asks for places again and again, at every entry VM that knows of the limit and does not know of a wait. */
	async askAll(durationMs: number, {maxWaitMs = 0, isWanted = () => true}: {maxWaitMs?: number; isWanted?: (vm: number) => boolean} = {}): Promise<void> {
		const {clock} = this;
		for (const endMs = clock.now() + durationMs; clock.now() < endMs;) {
			for (const [vm, target] of this.targets.entries()) {
				if (isWanted(vm) && target.limit && !target.isLimited(clock.now())) {
					void this.#ask(vm, maxWaitMs);
				}
			}

			await clock.advance(50);
		}
	}

	mostInWindow(windowMs = 4000): number {
		return countPeak(this.sentMs, windowMs);
	}

	async #ask(vm: number, maxWaitMs: number): Promise<void> {
		const reservation = await this.limits[vm]!.reserve(this.targets[vm]!, maxWaitMs);
		if ('waitMs' in reservation) {
			await this.clock.sleep(reservation.waitMs);
			this.sentMs.push(this.clock.now());
		}
	}
}

describe('TargetLimits in a fleet', () => {
	it.each([{size: 9, perSecond: 1}, {size: 9, perSecond: 0.25}, {size: 9, perSecond: 20}, {size: 200, perSecond: 1}, {size: 200, perSecond: 0.25}, {size: 200, perSecond: 20}])('keeps a limit of $perSecond a second over $size entry VMs, and uses it', async ({size, perSecond}) => {
		const fleet = SimulatedFleet.create({size, perSecond});
		await fleet.clock.advance(500);
		expect(fleet.targets.filter(({limit}) => limit?.perSecond === perSecond)).toHaveLength(size);
		await fleet.askAll(20_000);
		expect(fleet.mostInWindow()).toBeLessThanOrEqual((1.5 * perSecond * 4) + 5);
		expect(fleet.sentMs.length).toBeGreaterThanOrEqual(perSecond * 20 * 0.8);
	});

	it('asks with a bounded number of messages, since an entry VM without a place asks again only when one is free', async () => {
		const fleet = SimulatedFleet.create({size: 200, perSecond: 0.5});
		await fleet.clock.advance(500);
		const before = fleet.mesh.messages;
		await fleet.askAll(10_000);
		// Five places are free in this time; each may be asked for by all, over two links and back.
		expect(fleet.mesh.messages - before).toBeLessThanOrEqual(7 * 200 * 4);
	});

	it('gives waiting requests the next places, and keeps the limit', async () => {
		const fleet = SimulatedFleet.create({size: 9, perSecond: 2});
		await fleet.clock.advance(500);
		await fleet.askAll(8000, {maxWaitMs: 1000});
		expect([fleet.mostInWindow() <= (1.5 * 2 * 4) + 5, fleet.sentMs.length >= 12]).toEqual([true, true]);
	});

	it('gives the places at a target in a zone without entry VMs at one of them', async () => {
		const fleet = SimulatedFleet.create({size: 60, perSecond: 1, zone: 'elsewhere'});
		await fleet.clock.advance(500);
		await fleet.askAll(10_000);
		expect([fleet.mostInWindow() <= 11, fleet.sentMs.length >= 8]).toEqual([true, true]);
	});

	it('gives no place where the entry VM that gives them is cut off', async () => {
		const fleet = SimulatedFleet.create({size: 9, perSecond: 1});
		await fleet.clock.advance(500);
		fleet.mesh.cutOff.add(0);
		await fleet.askAll(5000, {isWanted: vm => vm !== 0});
		expect(fleet.sentMs).toEqual([]);
	});

	it('ends a limit everywhere when one entry VM sees that it is over', async () => {
		const fleet = SimulatedFleet.create({size: 200, perSecond: 1});
		await fleet.clock.advance(500);
		fleet.limits[3]!.observe(fleet.targets[3]!, {perSecond: undefined, sentMs: fleet.clock.now()});
		await fleet.clock.advance(500);
		expect(fleet.targets.filter(({limit}) => limit !== undefined)).toEqual([]);
	});

	it('does not apply what a peer tells about another start of a target', async () => {
		const fleet = SimulatedFleet.create({size: 2, perSecond: 1});
		await fleet.clock.advance(500);
		fleet.limits[0]!.receive(fleet.mesh.link(0, 1), {
			type: 'target-limit', target: 'e-1', startedMs: 999, perSecond: 7, agoMs: 0,
		});
		expect(fleet.targets[0]!.limit?.perSecond).toBe(1);
	});

	it('keeps a limit while one leader after the other is lost', async () => {
		const fleet = SimulatedFleet.create({size: 25, perSecond: 1});
		await fleet.clock.advance(500);
		for (let round = 0; round < 40; round++) {
			await fleet.askAll(300);
			fleet.restart(0);
		}

		expect(fleet.mostInWindow()).toBeLessThanOrEqual((1.5 * 4) + 5);
	});

	it('tells a newly linked peer of the limits that it knows', async () => {
		const fleet = SimulatedFleet.create({size: 9, perSecond: 1});
		await fleet.clock.advance(500);
		fleet.restart(4);
		expect(fleet.targets[4]!.limit).toBeUndefined();
		fleet.limits[0]!.linkUp(fleet.mesh.link(0, 4));
		await fleet.clock.advance(100);
		expect(fleet.targets[4]!.limit?.perSecond).toBe(1);
	});
});
