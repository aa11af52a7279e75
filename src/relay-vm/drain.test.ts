import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {Drain} from './drain.js';
import {RelayVmLifecycle} from './relay-vm-lifecycle.js';

const graceMs = 8000;

/** Drains with requests and plans in progress; `fails` names a step that throws. */
function createDrain({inFlight = 0, hostedPlans = 0, fails = ''} = {}) {
	const clock = ManualClock.create();
	const calls: string[] = [];
	const state = {inFlight, hostedPlans};
	const record = (step: string) => {
		calls.push(step);
		if (step === fails) {
			throw new Error('failed');
		}
	};

	const lifecycle = RelayVmLifecycle.create();
	const drain = Drain.create({
		clock,
		logger: silentLoggerFactory('entry-vm'),
		lifecycle,
		server: () => ({
			get inFlight() {
				return state.inFlight;
			},
			arrivals: 0,
			rejectLate() {
				record('reject late');
			},
			closeIdleConnections() {
				record('close idle');
			},
			endUnanswered() {
				record('end unanswered');
			},
			endRequests() {
				record('end requests');
				state.inFlight = 0;
			},
		}),
		member: {
			leave() {
				record('leave');
			},
		},
		pieceShares: {
			returnShares() {
				record('return shares');
				return true;
			},
		},
		stages: {
			handOver() {
				record('hand over');
			},
			get hostedPlans() {
				return state.hostedPlans;
			},
		},
	});

	let isOver = false;
	const ended = (async () => {
		await drain.run(graceMs);
		isOver = true;
	})();

	/** Advances the time, and lets the event loop turn as often as a check of the drain takes. */
	const advance = async (ms: number) => {
		for (const endMs = clock.now() + ms; clock.now() < endMs;) {
			await clock.advance(10);
			for (let turn = 0; turn < 10; turn++) {
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}
		}

		return isOver;
	};

	return {
		calls, state, drain, lifecycle, ended, advance,
	};
}

// Guards against a drain that stops at a step that fails, so that requests in progress are never ended.
test.each(['leave', 'return shares', 'hand over', 'reject late'])('a drain goes on when a step fails: %s', async fails => {
	const {calls, ended, advance, lifecycle} = createDrain({fails});
	expect(await advance(graceMs)).toBe(true);
	await ended;
	expect(lifecycle.state).toBe('stopped');
	expect(new Set(calls)).toEqual(new Set(['leave', 'return shares', 'hand over', 'reject late', 'close idle']));
});

// Guards against a drain that waits for nothing, or that ends before the requests and plans in progress.
test('a drain waits for requests and hosted plans, and ends once there are none', async () => {
	const {state, drain, advance, calls} = createDrain({inFlight: 1, hostedPlans: 1});
	expect(await advance(drain.schedule!.idleStopMs + 200)).toBe(false);
	state.inFlight = 0;
	expect(await advance(200)).toBe(false);
	state.hostedPlans = 0;
	expect(await advance(200)).toBe(true);
	expect(calls).not.toContain('end requests');
});

// Guards against requests whose connections are cut without an answer at the end of the grace period.
test('requests in progress get their last answers at the end of the grace period', async () => {
	const {drain, advance, calls} = createDrain({inFlight: 2, hostedPlans: 1});
	expect(await advance(drain.schedule!.lastEndMs - 100)).toBe(false);
	expect(calls).not.toContain('end requests');
	expect(await advance(400)).toBe(true);
	expect(calls.filter(call => call === 'end requests')).toHaveLength(1);
});

// Guards against a grace period that is shortened during a shutdown without effect.
test('a shorter grace period ends a drain earlier', async () => {
	const {drain, advance} = createDrain({inFlight: 1});
	await advance(100);
	const {endMs} = drain.schedule!;
	drain.setGrace(graceMs / 2);
	expect(drain.schedule!.endMs).toBeLessThan(endMs);
	await advance(drain.schedule!.endMs);
	expect(await advance(drain.schedule!.lastEndMs)).toBe(true);
});
