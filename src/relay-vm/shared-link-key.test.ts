import {expect, test} from 'vitest';
import {MemoryKeyStore} from '../../test/support/memory-key-store.js';
import {ManualClock} from '../clock/index.js';
import {LinkKey} from '../links/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {Random} from '../random/index.js';
import {SharedLinkKey} from './shared-link-key.js';

function createShared() {
	const clock = ManualClock.create();
	const store = new MemoryKeyStore();
	const replaced: LinkKey[] = [];
	const state = {isClosed: false};
	const shared = SharedLinkKey.create({
		store, clock, logger: silentLoggerFactory('links'), random: Random.create(1), isClosed: () => state.isClosed, onReplaced(key) {
			replaced.push(key);
		},
	});
	return {
		clock, store, replaced, state, shared,
	};
}

// Guards against entry VMs with different keys after the store came back from an older copy.
test('the key in use is stored again, or replaced by the one that another entry VM has stored', async () => {
	const {clock, store, replaced, shared} = createShared();
	await shared.restore();
	expect(store.key).toBe(undefined);
	const key = await shared.get();
	store.key = undefined;
	void shared.restore();
	await clock.advance(1000);
	expect(LinkKey.create(store.key ?? '').equals(key)).toBe(true);
	expect(replaced).toEqual([]);
	store.key = 'the key of another entry VM';
	void shared.restore();
	await clock.advance(1000);
	expect(replaced).toHaveLength(1);
	expect((await shared.get()).equals(LinkKey.create(store.key))).toBe(true);
});

// Guards against an entry VM that writes to the store after it was closed.
test('nothing is stored once this entry VM is closed', async () => {
	const {clock, store, state, shared} = createShared();
	await shared.get();
	store.key = undefined;
	void shared.restore();
	state.isClosed = true;
	await clock.advance(1000);
	expect(store.key).toBe(undefined);
});
