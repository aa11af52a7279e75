import {describe, expect, it} from 'vitest';
import {CuttableMesh} from '../../test/support/cuttable-mesh.js';
import {ManualClock, type Ms} from '../clock/index.js';
import type {Link, LinkMessage} from '../links/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {Random} from '../random/index.js';
import {permitRate} from './cold-bound.js';
import {ColdPermits, type PermitMessage} from './cold-permits.js';

const bound = {overage: 1.5, slack: 5};
const perSecond = 11;
const maxInSecond = (perSecond * bound.overage) + bound.slack;
const target = {target: 'e-1', service: 'engines', zone: 'zone-0'};

/** Entry VMs in three cells that all want to send to one cold target all the time. */
class Fleet {
	readonly clock = ManualClock.create({now: 10_000});
	readonly random: Random;
	readonly mesh: CuttableMesh;
	readonly permits: ColdPermits[] = [];
	readonly sent: Array<{vm: number; atMs: Ms}> = [];

	constructor(readonly size: number, seed: number, private readonly isSentLate = true) {
		this.random = Random.create(seed);
		this.mesh = CuttableMesh.create({
			size,
			cellSize: size / 3,
			clock: this.clock,
			random: this.random,
			deliver: (vm, link, message) => {
				this.permits[vm]!.receive(link, message as PermitMessage);
			},
			onLost: (vm, link) => {
				this.permits[vm]!.linkLost(link);
			},
		});
		for (let vm = 0; vm < size; vm++) {
			this.start(vm);
		}
	}

	/** Starts an entry VM that knows nothing, in the place of an earlier one. */
	start(vm: number): void {
		this.permits[vm] = ColdPermits.create({
			clock: this.clock, logger: silentLoggerFactory('targets'), self: `i-${vm}`, mesh: () => this.mesh.at(vm), rateOf: () => permitRate(perSecond, bound), coldSinceMs: () => undefined,
		});
	}

	async run(durationMs: Ms, maxWaitMs: Ms = 0): Promise<void> {
		const {clock} = this;
		for (const endMs = clock.now() + durationMs; clock.now() < endMs;) {
			for (const [vm, permits] of this.permits.entries()) {
				if (permits.deniedUntilMs(target.target) <= clock.now() + maxWaitMs) {
					void this.#send(vm, maxWaitMs);
				}
			}

			await clock.advance(25);
		}
	}

	/** Most requests in any second that begins with one. */
	get mostInSecond(): number {
		return Math.max(0, ...this.sent.map(({atMs: from}) => this.sent.filter(({atMs}) => atMs >= from && atMs < from + 1000).length));
	}

	/** Sends with a permit, as late as it can be used, or at once. */
	async #send(vm: number, maxWaitMs: Ms): Promise<void> {
		const {clock} = this;
		const permit = await this.permits[vm]!.reserve(target, maxWaitMs);
		if ('sendByMs' in permit) {
			await clock.sleep(permit.waitMs);
			await clock.sleep(Math.max(0, (permit.sendByMs - clock.now()) * (this.isSentLate ? this.random.float() : 0)));
			this.sent.push({vm, atMs: clock.now()});
		}
	}
}

describe('permitRate', () => {
	it('keeps two coordinators within the bound', () => {
		expect(permitRate(11, bound)).toBeCloseTo(7.5);
		expect(permitRate(1, {overage: 1, slack: 0})).toBe(0);
	});
});

describe('ColdPermits at an entry VM that does not coordinate', () => {
	let retryAfterMs = 0;
	const clock = ManualClock.create({now: 10_000});
	const link = {
		peer: {name: 'vm-0'},
		send(message: LinkMessage & {type: 'permit-request'}) {
			const {id} = message;
			queueMicrotask(() => {
				permits.receive(link, {
					type: 'permit-reply', id, waitMs: null, retryAfterMs,
				});
			});
			return true;
		},
	} as unknown as Link;
	const permits = ColdPermits.create({
		clock, logger: silentLoggerFactory('targets'), self: 'i-1', mesh: () => ({
			...CuttableMesh.create({
				size: 2, cellSize: 2, clock, random: Random.create(1), deliver: () => undefined, onLost: () => undefined,
			}).at(1), coordinatorOf: () => link,
		}), rateOf: () => 1, coldSinceMs: () => undefined,
	});

	// Guards against a faulty peer that takes a target out of use for any time.
	it('bounds the time for which a peer denies a target', async () => {
		retryAfterMs = 1e12;
		await permits.reserve(target, 0);
		expect(permits.deniedUntilMs(target.target)).toBe(20_000);
	});

	// Guards against memory that grows with each target that was cold once.
	it('drops the denials that are over', async () => {
		retryAfterMs = 200;
		for (let start = 0; start < 200; start++) {
			await permits.reserve({...target, target: `e-${start + 2}`}, 0);
			await clock.advance(100);
		}

		expect(permits.denialCount).toBeLessThan(5);
	});
});

describe('ColdPermits in a fleet', () => {
	it.each([0, 800])('keeps the bound with requests that wait %d ms, and uses it', async maxWaitMs => {
		const fleet = new Fleet(24, 1);
		await fleet.run(3500);
		fleet.sent.length = 0;
		await fleet.run(5000, maxWaitMs);
		expect(fleet.mostInSecond).toBeLessThanOrEqual(maxInSecond);
		expect(fleet.sent.length).toBeGreaterThanOrEqual(5 * 7.5 * 0.8);
	});

	// Guards against permits of an earlier process and of its successor that add up: votes are forgotten with a restart.
	it('grants nothing in the time after a start in which an earlier vote may hold', async () => {
		const fleet = new Fleet(3, 1);
		await fleet.run(2000);
		expect(fleet.sent).toEqual([]);
	});

	it('keeps the bound while one coordinator after the other is lost', async () => {
		const fleet = new Fleet(24, 2);
		for (let round = 0; round < 8; round++) {
			await fleet.run(900, 400);
			fleet.start(round % 3);
		}

		expect(fleet.mostInSecond).toBeLessThanOrEqual(maxInSecond);
	});

	it('has a successor that grants permits after the lease of a lost coordinator', async () => {
		const fleet = new Fleet(24, 3);
		await fleet.run(4000);
		fleet.mesh.cutOff(0);
		fleet.sent.length = 0;
		await fleet.run(6000);
		expect(fleet.mostInSecond).toBeLessThanOrEqual(maxInSecond);
		expect(fleet.sent.filter(({vm}) => vm === 0).every(({atMs}) => atMs < 16_600)).toBe(true);
		expect(fleet.sent.filter(({vm}) => vm !== 0).length).toBeGreaterThan(15);
	});

	it('sends nothing over cut links', async () => {
		const fleet = new Fleet(24, 4);
		await fleet.run(4000);
		fleet.mesh.cutOff(20);
		await fleet.run(300);
		fleet.sent.length = 0;
		await fleet.run(4000);
		expect(fleet.sent.filter(({vm}) => vm === 20)).toEqual([]);
		expect(fleet.sent.length).toBeGreaterThan(15);
	});

	// Guards against the cell of a target that is partitioned from the store, and another one that takes its place since the store no longer lists it.
	it('keeps the bound with two coordinators at once', async () => {
		const fleet = new Fleet(24, 5);
		await fleet.run(3000);
		for (let vm = 8; vm < 24; vm++) {
			fleet.mesh.unlist(vm, [0, 1, 2, 3, 4, 5, 6, 7]);
			for (let other = 0; other < 8; other++) {
				fleet.mesh.cut(vm, other);
			}
		}

		await fleet.run(2500);
		fleet.sent.length = 0;
		await fleet.run(4000);
		const sides = [fleet.sent.filter(({vm}) => vm < 8).length, fleet.sent.filter(({vm}) => vm >= 8).length];
		expect(Math.min(...sides)).toBeGreaterThan(20);
		expect(fleet.mostInSecond).toBeLessThanOrEqual(maxInSecond);
	});

	// Guards against entry VMs that each count as the leader, since the links between them are cut, but not those to the others.
	it.each([11, 12, 13, 14, 15, 16])('keeps the bound with random cuts, restarts and heals (seed %d)', async seed => {
		const fleet = new Fleet(24, seed);
		await fleet.run(2500, 400);
		const pick = () => Math.floor(fleet.random.float() * fleet.size);
		const pickLeader = () => Math.floor(fleet.random.float() * 4);
		for (let round = 0; round < 10; round++) {
			const act = fleet.random.float();
			if (act < 0.5) {
				for (let cut = 0; cut < 12; cut++) {
					const [a, b] = [pickLeader(), fleet.random.float() < 0.5 ? pickLeader() : pick()];
					if (a !== b) {
						fleet.mesh.cut(a, b);
					}
				}
			} else if (act < 0.7) {
				fleet.mesh.heal();
			} else if (act < 0.9) {
				fleet.start(pickLeader());
			} else {
				fleet.mesh.cutOff(pick());
			}

			await fleet.run(700, fleet.random.float() < 0.5 ? 0 : 900);
		}

		expect(fleet.mostInSecond).toBeLessThanOrEqual(maxInSecond);
	});
});
