import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {RequestMemory, smallRequestBytes, type RequestLease} from './request-memory.js';

const large = 2 * smallRequestBytes;

// Guards against FAULT and LOST of issue 43: an entry VM held the requests of all callers until it was killed for its memory.
describe('RequestMemory', () => {
	let clock: ManualClock;
	let memory: RequestMemory;
	let events: string[];
	const leases = new Map<string, RequestLease>();

	beforeEach(() => {
		clock = ManualClock.create();
		events = [];
		leases.clear();
		// Room for six large requests beside the quarter that is kept for small ones.
		memory = RequestMemory.create({maxBytes: 8 * large, clock, logger: silentLoggerFactory('requests')});
	});

	function claim(name: string, bytes: number, owner = 'a', isDeferred = false): RequestLease {
		const lease = memory.claim({
			bytes, owner, isDeferred: () => isDeferred, onRefused(cause) {
				events.push(`${name} ${cause}`);
			},
		}, () => {
			events.push(name);
		});
		leases.set(name, lease);
		return lease;
	}

	function fill(owner = 'a'): void {
		for (let index = 1; index <= 6; index++) {
			claim(`full-${index}`, large, owner).complete(large);
		}

		events = [];
	}

	it('lets large requests wait for room, in their order of arrival, and small ones pass them', () => {
		fill();
		claim('first', large);
		claim('second', large);
		claim('small', smallRequestBytes);
		expect([events, memory.bytes]).toEqual([['small'], (6 * large) + smallRequestBytes]);
		leases.get('full-1')!.release();
		leases.get('full-1')!.release();
		expect(events).toEqual(['small', 'first']);
		leases.get('full-2')!.complete(large);
		leases.get('full-2')!.release();
		expect([events, memory.waiting]).toEqual([['small', 'first', 'second'], 0]);
	});

	it('serves the owner first that holds least', () => {
		fill('a');
		claim('of-a', large, 'a');
		claim('of-b', large, 'b');
		leases.get('full-1')!.release();
		expect(events).toEqual(['of-b']);
	});

	it('keeps a tenth for owners that hold less than it', () => {
		for (let index = 0; index < 16; index++) {
			claim(`a-${index}`, smallRequestBytes, 'a').complete(smallRequestBytes);
		}

		expect([events.length, memory.waiting]).toEqual([14, 2]);
		claim('of-b', smallRequestBytes, 'b');
		expect(events.at(-1)).toBe('of-b');
	});

	it('gives back at the end of a body what it did not take', () => {
		const lease = claim('chunks', 6 * large);
		claim('next', large);
		lease.complete(large);
		expect([events, memory.bytes]).toEqual([['chunks', 'next'], 2 * large]);
	});

	it('refuses those that have waited in vain, and only them', async () => {
		fill();
		claim('late', large);
		await clock.advance(700);
		expect(events).toEqual([]);
		await clock.advance(200);
		expect([events, memory.waiting, memory.bytes]).toEqual([['late waited'], 0, 6 * large]);
	});

	it('refuses senders without progress while others wait, and neither quick nor complete nor deferred ones', async () => {
		claim('slow', large);
		claim('trickling', large);
		claim('quick', large);
		claim('deferred', large, 'a', true);
		claim('whole', large).complete(large);
		claim('also whole', large).complete(large);
		await clock.advance(1000);
		expect(events).toHaveLength(6);
		events = [];
		claim('next', large);
		for (let check = 0; check < 5; check++) {
			leases.get('trickling')!.received(1);
			leases.get('quick')!.received(large / 50);
			await clock.advance(100);
		}

		expect(events).toEqual(['slow slow', 'trickling slow', 'next']);
	});

	it('does not refuse slow senders of small requests for large ones that could not use their room', async () => {
		fill();
		claim('small', smallRequestBytes);
		claim('large', large);
		await clock.advance(2000);
		expect(events).toEqual(['small', 'large waited']);
	});

	it('refuses the latest of the owner that has most waiting once too many wait', () => {
		fill('a');
		for (let index = 0; index < 128; index++) {
			claim(`wait-${index}`, large, 'a');
		}

		claim('of-b', large, 'b');
		expect([events, memory.waiting]).toEqual([['wait-127 crowded'], 128]);
	});

	it('lets one that is larger than all the room in while there is no other', () => {
		const lease = claim('huge', 20 * large);
		expect(events).toEqual(['huge']);
		lease.release();
		claim('large', large);
		claim('huge again', 20 * large);
		expect([events, memory.bytes]).toEqual([['huge', 'large'], large]);
	});

	it('lets a body in chunks ask for more, and keeps its place meanwhile', () => {
		fill();
		const lease = claim('chunks', 1000);
		lease.resize(large, () => {
			events.push('resized');
		});
		expect([events, memory.bytes]).toEqual([['chunks'], (6 * large) + 1000]);
		leases.get('full-1')!.release();
		expect([events, memory.bytes]).toEqual([['chunks', 'resized'], 6 * large]);
		lease.release();
		expect(memory.bytes).toBe(5 * large);
	});
});
