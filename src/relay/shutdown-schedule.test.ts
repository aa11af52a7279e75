import {describe, expect, it} from 'vitest';
import type {RequestKind} from '../routes/index.js';
import {ShutdownSchedule, type ScheduledRequest} from './shutdown-schedule.js';

const startedMs = 1000;
const schedule = ShutdownSchedule.create({startedMs, graceMs: 8000});

function request(kind: RequestKind, deadlineMs: number, {isResumable = false, longestMs = 0, typicalMs = longestMs, samples = 100}: {isResumable?: boolean; longestMs?: number; typicalMs?: number; samples?: number} = {}): ScheduledRequest {
	return {
		route: {kind, isResumable, objectiveMs: 500},
		deadlineMs,
		estimate: longestMs === 0 ? undefined : {typicalMs, longestMs, samples},
	};
}

/** Returns the latest time at which the request can be completed, to 10 ms; `undefined` if there is none. */
function latestStartMs(scheduled: ScheduledRequest): number | undefined {
	let latest: number | undefined;
	for (let now = startedMs; now <= startedMs + 8000; now += 10) {
		latest = schedule.canComplete(scheduled, now) ? now : latest;
	}

	return latest;
}

describe('ShutdownSchedule', () => {
	it('accepts requests until the load balancer has noticed, and ends before the grace period does', () => {
		expect([schedule.acceptUntilMs, schedule.idleStopMs, schedule.targetDeadlineMs, schedule.endMs]).toEqual([3500, 4000, 8400, 8500]);
	});

	// Guards against times that are later than the end of a short grace period.
	it.each([0, 100, 600, 2000, 3000])('keeps all its times within a grace period of %i ms', graceMs => {
		const short = ShutdownSchedule.create({startedMs, graceMs});
		expect(short.endMs).toBeGreaterThanOrEqual(startedMs);
		expect(short.endMs).toBeLessThanOrEqual(startedMs + (graceMs * 5 / 6));
		expect(Math.max(short.acceptUntilMs, short.idleStopMs, short.targetDeadlineMs)).toBeLessThanOrEqual(short.endMs);
	});

	it('lets streams that have begun go on elsewhere until shortly before its end', () => {
		expect([schedule.canGoOn(7900), schedule.canGoOn(7901)]).toEqual([true, false]);
	});

	it('follows a grace period that becomes shorter, and no longer one', () => {
		expect(schedule.withGrace(4000, 2000).endMs).toBe(4500);
		expect(schedule.withGrace(4000, 2000).withGrace(9000, 2000).endMs).toBe(4500);
		expect(schedule.withGrace(9000, 2000)).toBe(schedule);
	});

	// Guards against streams that are cut at a sound engine since the settings change.
	it('lets streams that have begun go on until the end that was set at first', () => {
		const shorter = schedule.withGrace(6000, 2000).withGrace(4000, 2000);
		expect([shorter.endMs, shorter.lastEndMs]).toEqual([4500, schedule.endMs]);
		expect([shorter.nextEndMs(4499), shorter.nextEndMs(4500)]).toEqual([4500, 8500]);
		expect([shorter.canGoOn(7900), shorter.canGoOn(7901)]).toEqual([true, false]);
		expect([shorter.deadlineOfTarget({hasBegun: true}), shorter.deadlineOfTarget({hasBegun: false})]).toEqual([8400, 4400]);
	});

	it('does not follow one that is over already', () => {
		expect(schedule.withGrace(4000, 5000)).toBe(schedule);
		expect(schedule.withGrace(4000, 4999).endMs).toBe(4500);
	});

	// Guards against requests that may not be repeated and are cut at a target.
	it.each(['non_idempotent', 'stream'] as const)('needs the whole time budget for a %s request that may not be repeated', kind => {
		expect(schedule.canComplete(request(kind, 8400), 3000)).toBe(true);
		expect(schedule.canComplete(request(kind, 8401), 1000)).toBe(false);
		expect(schedule.canComplete(request(kind, 8401, {longestMs: 20, samples: 19}), 1000)).toBe(false);
	});

	it('needs twice the longest of many recent requests for one that may not be repeated, if that is less', () => {
		expect(latestStartMs(request('non_idempotent', 60_000, {longestMs: 1000}))).toBe(6400);
		expect(latestStartMs(request('non_idempotent', 60_000, {longestMs: 5, samples: 20}))).toBe(7900);
	});

	it('needs somewhat more than the typical duration for a request that may be repeated', () => {
		expect(latestStartMs(request('idempotent', 60_000, {typicalMs: 2000, longestMs: 9000, samples: 1}))).toBe(5400);
		expect(latestStartMs(request('stream', 60_000, {isResumable: true, typicalMs: 2000, longestMs: 9000}))).toBe(5400);
		expect(latestStartMs(request('idempotent', 60_000))).toBe(7400);
	});

	it('needs no more than the time until the deadline', () => {
		expect(schedule.canComplete(request('idempotent', 8300, {longestMs: 9000}), 8200)).toBe(true);
		expect(schedule.canComplete(request('non_idempotent', 900), 8400)).toBe(true);
	});
});
