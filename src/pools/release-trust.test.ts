import {expect, it} from 'vitest';
import {ReleaseTrust} from './release-trust.js';

// Guards against calls that run out of memory again and again since releases come after their start.
it('counts less on releases after calls without room, and more after those with room', () => {
	const trust = ReleaseTrust.create();
	trust.record(false);
	trust.record(false);
	expect(trust.fraction).toBe(0.25);
	for (let call = 0; call < 20; call++) {
		trust.record(true);
	}

	expect(trust.fraction).toBe(1);
});
