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
		{clock, events, onState: () => undefined},
	);
	return {target, clock};
}

// Guards against work for a draining target after a reply that does not mention draining.
test('draining ends only with another start at the address', () => {
	const {target} = create();
	target.contact({startId: 's1', draining: true});
	target.contact({startId: 's1', draining: false});
	expect(target.dispatchable).toBe(false);
	target.contact({startId: 's2', draining: false});
	expect(target.dispatchable).toBe(true);
});

// Guards against late draining news about an earlier start taking out its replacement.
test('draining news for another start is ignored', () => {
	const {target} = create();
	target.contact({startId: 's2', draining: false});
	target.drain('s1', 'peer');
	expect(target.dispatchable).toBe(true);
});

// Guards against a target that answers probes but fails calls being used again at once.
test('a suspect target stays out for its ejection time', async () => {
	const {target, clock} = create();
	target.contact({startId: 's1', draining: false});
	const {suspected} = target;
	for (let call = 0; call < 3; call++) {
		target.inFlight++;
		target.callEnded('failed');
	}

	expect(suspected.aborted).toBe(true);
	target.contact({startId: 's1', draining: false});
	expect(target.state).toBe('suspect');
	await clock.advance(1000);
	target.contact({startId: 's1', draining: false});
	expect(target.state).toBe('healthy');
});
