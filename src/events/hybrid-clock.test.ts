import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {EventRing} from './event-ring.js';
import {HybridClock} from './hybrid-clock.js';

// Guards against an effect that is stamped earlier than its cause when clocks are skewed.
test('local times are later than a received time', () => {
	const [ahead, behind] = [ManualClock.create({wall: 5000}), ManualClock.create({wall: 4000})];
	const [sender, receiver] = [HybridClock.create(ahead), HybridClock.create(behind)];
	const sent = sender.tick();
	receiver.merge(sent);
	expect(receiver.tick()).toEqual({physicalMs: 5000, logical: 1});
	receiver.merge({physicalMs: 10, logical: 0});
	expect(receiver.tick()).toEqual({physicalMs: 5000, logical: 2});
});

// Guards against events of one process that change order when its clock steps back.
test('events of a ring keep their order when the clock steps back', () => {
	const clock = ManualClock.create({wall: 5000});
	const ring = EventRing.create({process: 'a', clock, hybridClock: HybridClock.create(clock)});
	ring.record({kind: 'shutdown'});
	clock.stepWall(-1000);
	ring.record({kind: 'shutdown'});
	expect(ring.select().map(({wallMs, logical}) => [wallMs, logical])).toEqual([[5000, 0], [5000, 1]]);
});

// Guards against one faulty clock that shifts the timeline of all processes.
test('a received time far ahead of the wall clock is ignored', () => {
	const hybrid = HybridClock.create(ManualClock.create({wall: 5000}));
	hybrid.merge({physicalMs: 50_000, logical: 3});
	expect(hybrid.tick()).toEqual({physicalMs: 5000, logical: 0});
});
