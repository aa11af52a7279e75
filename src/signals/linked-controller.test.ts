import {getEventListeners} from 'node:events';
import {expect, test} from 'vitest';
import {linkController} from './linked-controller.js';

// Guards against listeners that accumulate on a signal that lives as long as the process.
test('a source has no listener after unlink', () => {
	const source = new AbortController();
	const {controller, unlink} = linkController([source.signal]);
	unlink();
	expect(getEventListeners(source.signal, 'abort')).toHaveLength(0);
	source.abort();
	expect(controller.signal.aborted).toBe(false);
	expect(linkController([source.signal]).controller.signal.aborted).toBe(true);
});
