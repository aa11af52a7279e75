import {expect, it} from 'vitest';
import {MemoryKeyStore} from '../../test/support/memory-key-store.js';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {getOrCreateLinkKey} from './get-or-create-link-key.js';
import {LinkKey} from './link-key.js';

const options = {clock: ManualClock.create(), logger: silentLoggerFactory('links')};

// Guards against entry VMs with different keys: the store came back from a copy of before the key was created.
it('stores the key in use again when the store has lost it, and takes over one that is stored', async () => {
	const store = new MemoryKeyStore();
	const current = await getOrCreateLinkKey({...options, store});
	store.key = undefined;
	expect((await getOrCreateLinkKey({...options, store, current})).equals(current)).toBe(true);
	expect((await getOrCreateLinkKey({...options, store})).equals(current)).toBe(true);
	store.key = 'the key of an entry VM that has just started';
	expect((await getOrCreateLinkKey({...options, store, current})).equals(LinkKey.create(store.key))).toBe(true);
});
