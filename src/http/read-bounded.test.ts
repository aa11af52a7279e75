import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {expect, it} from 'vitest';
import {readBounded} from './read-bounded.js';

const body = () => Readable.from([Buffer.from('ab'), Buffer.from('c')]);

it('reads a body up to its limit', async () => {
	expect((await readBounded(body(), 3)).toString()).toBe('abc');
	await expect(readBounded(body(), 2)).rejects.toThrow('Cannot read a body: it exceeds 2 bytes');
});
