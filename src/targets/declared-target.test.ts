import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {EventRing} from '../events/index.js';
import {DeclaredTarget} from './declared-target.js';

function create(): {target: DeclaredTarget; clock: ManualClock} {
	const clock = ManualClock.create();
	const events = EventRing.create({process: 'vm', clock});
	const target = new DeclaredTarget(
		{
			kind: 'target', name: 't1', zone: 'z', pool: 'p', address: 'http://127.0.0.1:1', slots: 1, checks_fencing: false,
		},
		{
			kind: 'pool', name: 'p', type: 'service', prefill_ms_per_token: 0, decode_ms_per_token: 0, service_ms: 1, cost_per_second: 0, lookup: false,
		},
		'r',
		{clock, events, onStateChange: () => undefined},
	);
	return {target, clock};
}

// Guards against dispatching to a draining target after one of its replies lacks the draining flag.
test('a draining target becomes dispatchable only after a restart', () => {
	const {target} = create();
	target.updateHealth({startId: 's1', draining: true});
	target.updateHealth({startId: 's1', draining: false});
	expect(target.dispatchable).toBe(false);
	target.updateHealth({startId: 's2', draining: false});
	expect(target.dispatchable).toBe(true);
});

// Guards against a delayed draining notice for an earlier start id, which must not take its replacement out of use.
test('a draining notice for another start id is ignored', () => {
	const {target} = create();
	target.updateHealth({startId: 's2', draining: false});
	target.markDraining('s1', 'peer');
	expect(target.dispatchable).toBe(true);
});

// Guards against using a target that answers probes but fails calls again before its ejection time is over.
test('a suspect target stays ejected for the ejection time', async () => {
	const {target, clock} = create();
	target.updateHealth({startId: 's1', draining: false});
	const {suspectSignal} = target;
	for (let call = 0; call < 3; call++) {
		target.inFlight++;
		target.callEnded('failed');
	}

	expect(suspectSignal.aborted).toBe(true);
	target.updateHealth({startId: 's1', draining: false});
	expect(target.state).toBe('suspect');
	await clock.advance(1000);
	target.updateHealth({startId: 's1', draining: false});
	expect(target.state).toBe('healthy');
});
