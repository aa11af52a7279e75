import {expect, test} from 'vitest';
import {resolveSettings} from '../settings/index.js';
import {linkSettings, readLinkSettings} from './link-settings.js';

const read = (flags: Record<string, string>) => readLinkSettings(resolveSettings(linkSettings, {flags: new Map(Object.entries(flags)), env: {}}));
const key = 'a shared key of the tests';

// Guards against links without authentication, and against an error message that reveals the key.
test.each([['links', '127.0.0.1:0'], ['peers', 'riga-2@127.0.0.1:9'], ['link-key', 'short-secret']])('--%s without a valid key is a usage error', (flag, value) => {
	expect(() => read({[flag]: value})).toThrow(/--link-key or GUAVAMILL_LINK_KEY: (is missing|has fewer than 16 bytes)(?!.*short-secret)/);
});

// Guards against peers that are skipped or parsed incorrectly.
test('peers are parsed as names with addresses', () => {
	expect(read({})).toBeUndefined();
	expect(read({'link-key': key, peers: 'riga-2@127.0.0.1:9,riga-3@[::1]:10'})).toMatchObject({
		listen: undefined, peers: [{name: 'riga-2', address: {host: '127.0.0.1', port: 9}}, {name: 'riga-3', address: {host: '::1', port: 10}}],
	});
	expect(() => read({'link-key': key, peers: 'riga-2@host:9'})).toThrow('contains riga-2@host:9, which is not name@IP:port');
});
