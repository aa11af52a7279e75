import {describe, expect, it} from 'vitest';
import {ForeignHosts} from './foreign-hosts.js';
import type {StagePlan} from './stage-plan.js';

const plan = (attemptId = 'r'): StagePlan => ({
	attemptId, stages: [{
		service: 'archive', after: [], resultBytes: 1_500_000, pieces: 3,
	}], pieceKey: 'k', zone: 'riga-a', priority: 0, callByMs: 1000, deadlineMs: 6000,
});
const load = (waitMs: number, service = 'archive') => [{service, waitMs, msPerPiece: 20}];
const options = {
	now: 0, times: {expectedCallMs: () => 300}, readyByMs: 850, isReachable: () => true, roundTripMs: () => 40,
};

describe('ForeignHosts', () => {
	// Guards against a zone whose burst waits or is refused while the pools of other zones have room.
	it('chooses the host at which a plan is ready first, if that is in time', () => {
		const hosts = ForeignHosts.create();
		hosts.update('busy', load(600), 0);
		expect(hosts.choose(plan(), options)).toBeUndefined();
		hosts.update('free', load(100), 0);
		hosts.update('idle', load(0), 0);
		expect(hosts.choose(plan(), options)).toBe('idle');
	});

	// Guards against a burst that goes to one idle host as a whole.
	it('spreads the plans of a burst over the hosts, and stops when all are busy', () => {
		const hosts = ForeignHosts.create();
		hosts.update('a', load(0), 0);
		hosts.update('b', load(0), 0);
		const chosen = Array.from({length: 30}, (_, index) => hosts.choose(plan(`r${index}`), options));
		const counts = ['a', 'b', undefined].map(host => chosen.filter(each => each === host).length);
		// A plan takes 345 ms at a host and 40 ms on the way, and each one before it delays it by 60 ms.
		expect(counts).toEqual([8, 8, 14]);
	});

	it.each([
		{name: 'is lost', change: {isReachable: () => false}},
		{name: 'has not reported for a while', change: {now: 1501, readyByMs: 5000}},
		{name: 'is too far away', change: {roundTripMs: () => 600}},
	])('leaves out a host that $name', ({change}) => {
		const hosts = ForeignHosts.create();
		hosts.update('a', load(0), 0);
		expect(hosts.choose(plan(), {...options, ...change})).toBeUndefined();
	});

	it('leaves out a host without a pool for a stage, and one that was removed', () => {
		const hosts = ForeignHosts.create();
		hosts.update('a', load(0, 'press'), 0);
		hosts.update('b', load(0), 0);
		hosts.remove('b');
		expect(hosts.choose(plan(), options)).toBeUndefined();
	});
});
