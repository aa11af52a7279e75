import {describe, expect, it} from 'vitest';
import {SimulatedMesh} from '../../test/support/simulated-mesh.js';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {Random} from '../random/index.js';
import {RequestRetry} from './request-retry.js';
import {RetryBudgets} from './retry-budgets.js';
import {RetryLoans, type RetryLoanMessage} from './retry-loans.js';

const windowMs = 10_000;
const ratio = 0.2;

/** Entry VMs that have been up for long unless they start now (`isNew`), with budgets for a service 'engine'. */
function createFleet(size: number, slack: number, {cellSize = size, isNew = false} = {}) {
	const clock = ManualClock.create({now: 100_000});
	const mesh = SimulatedMesh.create({
		size, cellSize, clock, deliver(vm, link, message) {
			loans[vm]!.receive(link, message as RetryLoanMessage);
		},
	});
	const budgets = Array.from({length: size}, (_, vm) => {
		const owner = RetryBudgets.create({
			limits: {windowMs, ratio, slack}, self: `${vm}`, startedMs: isNew ? clock.now() : -Infinity, isStageService: () => false,
		});
		owner.recordEntryVms(size, {now: clock.now(), isCurrent: true});
		return owner.of('engine');
	});
	const loans = budgets.map((budget, vm) => RetryLoans.create({
		clock, logger: silentLoggerFactory('requests'), mesh: () => mesh.at(vm), budgetOf: () => budget,
	}));
	const createRetry = (vm: number) => RequestRetry.create({
		clock, service: 'engine', budget: budgets[vm]!, loans: loans[vm]!,
	});
	return {
		clock, mesh, budgets, loans, createRetry,
	};
}

/** Sends requests for 30 s or, at few entry VMs, longer, `perWindow` of them at each entry VM in a window, of which a part fails. Returns shares in percent, and messages per second and entry VM. */
async function simulate({size, slack, cellSize, failing, perWindow, isLending}: {size: number; slack: number; cellSize: number; failing: number; perWindow: number; isLending: boolean}) {
	const {clock, mesh, budgets, createRetry} = createFleet(size, slack, {cellSize});
	const random = Random.create(46);
	let failed = 0;
	let retried = 0;
	const steps = 600 * (perWindow === 1 ? Math.ceil(380 / size) : 1);
	const stepMs = 50;
	for (let step = 0; step < steps; step++) {
		for (const [vm, budget] of budgets.entries()) {
			if (random.float() < perWindow * stepMs / windowMs) {
				budget.recordRequest(clock.now());
				if (random.float() < failing) {
					failed++;
					if (isLending) {
						const retry = createRetry(vm);
						void (async () => {
							await retry.prepare();
							if (retry.reserve()) {
								retry.recordSent();
								retried++;
							}
						})();
					} else if (budget.spend(clock.now())) {
						retried++;
					}
				}
			}
		}

		await clock.advance(stepMs);
	}

	await clock.advance(1000);
	return {failed, retriedPercent: Math.round(100 * retried / Math.max(1, failed)), messages: mesh.messages / size / (steps * stepMs / 1000)};
}

describe('RetryLoans', () => {
	// Guards against single requests without a retry although the fleet has most of its retries left.
	it.each([
		{size: 9, slack: 10, cellSize: 9},
		{size: 60, slack: 58, cellSize: 20},
		{size: 380, slack: 58, cellSize: 42},
	])('lend single requests at $size entry VMs their retries, with few messages', async ({size, slack, cellSize}) => {
		const results = [];
		for (const failing of [0, 0.02, 0.2]) {
			for (const perWindow of [1, 5, 49]) {
				const before = await simulate({
					size, slack, cellSize, failing, perWindow, isLending: false,
				});
				const after = await simulate({
					size, slack, cellSize, failing, perWindow, isLending: true,
				});
				results.push({failing, perWindow, after});
				console.log(`${size} entry VMs, slack ${slack}, ${100 * failing} % fail, ${perWindow} requests in a window each: ${before.retriedPercent} % of ${before.failed} retried before, ${after.retriedPercent} % with loans, ${after.messages.toFixed(3)} messages a second and entry VM`);
			}
		}

		expect(results.filter(({failing, after}) => failing === 0 && after.messages > 0)).toEqual([]);
		expect(results.filter(({failing, after}) => failing === 0.02 && (after.messages > 1 || after.retriedPercent < 90))).toEqual([]);
	}, 60_000);

	// Guards against retries that are denied although the others have counted requests: a leader without slack expected nothing of them.
	it('lend retries between entry VMs that have all just started, by the leader or to it', async () => {
		const {clock, budgets, createRetry} = createFleet(5, 12, {isNew: true});
		for (const budget of budgets) {
			for (let request = 0; request < 6; request++) {
				budget.recordRequest(clock.now());
			}
		}

		const reserved: boolean[] = [];
		for (const vm of [0, 3]) {
			const retry = createRetry(vm);
			const prepared = retry.prepare();
			await clock.advance(200);
			await prepared;
			reserved.push(retry.reserve());
		}

		// 0.6 retries each, two in all; what is lent counts.
		expect([reserved, budgets.reduce((sum, budget) => sum + budget.state(clock.now()).retries, 0)]).toEqual([[true, true], expect.closeTo(2, 3)]);
	});

	// Guards against a part of a retry that its lender spends as well, after the reply or the borrower was lost.
	it('leave a loan charged to its lender until a window after its end, whoever is lost', async () => {
		const {clock, mesh, budgets, loans} = createFleet(9, 10);
		const borrowing = loans[3]!.borrow('engine', 0.8);
		await clock.advance(30);
		mesh.cutOff.add(3);
		await clock.advance(1000);
		expect(await borrowing).toBe(0);
		const lent = () => budgets.reduce((sum, budget) => sum + budget.state(clock.now()).retries, 0);
		expect(lent()).toBeCloseTo(0.8);
		await clock.advance(10_500);
		expect(lent()).toBeCloseTo(0.8);
		await clock.advance(1000);
		expect(lent()).toBe(0);
	});

	it('return what does not suffice, and do not ask again at once', async () => {
		const {clock, mesh, budgets, loans} = createFleet(3, 1);
		const borrowing = loans[2]!.borrow('engine', 0.9);
		await clock.advance(500);
		expect([await borrowing, loans[2]!.mayBorrow('engine')]).toEqual([0, false]);
		await clock.advance(2000);
		expect(loans[2]!.mayBorrow('engine')).toBe(true);
		expect(budgets.map(budget => budget.state(clock.now()).retries)).toEqual([0, 0, 0]);
		expect(mesh.messages).toBeGreaterThan(0);
	});

	// Guards against a retry that is denied although the fleet has it: requests of one entry VM count on the same rest of its budget.
	it('lend concurrent requests of one entry VM a whole retry each, and leave the rest of one that is released to others', async () => {
		const {clock, budgets, createRetry} = createFleet(9, 27);
		budgets[3]!.spend(clock.now(), 2);
		const spare = budgets[3]!.spare(clock.now());
		expect(spare).toBeGreaterThan(0.1);
		const retries = [createRetry(3), createRetry(3)];
		const prepared = Promise.all(retries.map(async retry => retry.prepare()));
		await clock.advance(100);
		await prepared;
		expect([budgets[3]!.spare(clock.now()) < 0.001, ...retries.map(retry => retry.reserve())]).toEqual([true, true, true]);
		for (const retry of retries) {
			retry.release();
		}

		expect(budgets[3]!.spare(clock.now())).toBeCloseTo(spare);
	});

	// Guards against a retry that is sent when its lenders no longer count it.
	it('are not used once they have ended, or other limits are in force', async () => {
		const {clock, budgets, createRetry} = createFleet(9, 10);
		const retries = [createRetry(3), createRetry(4)];
		const prepared = Promise.all(retries.map(async retry => retry.prepare()));
		await clock.advance(100);
		await prepared;
		expect(retries[0]!.reserve()).toBe(true);
		budgets[4]!.setLimits({windowMs, ratio, slack: 9}, clock.now());
		expect(retries[1]!.reserve()).toBe(false);
		await clock.advance(1000);
		const renewing = retries[0]!.renew();
		await clock.advance(400);
		expect(await renewing).toBe(true);
		retries[0]!.recordSent();
		expect(budgets[3]!.state(clock.now()).retries).toBeLessThan(0.9);
	});
});
