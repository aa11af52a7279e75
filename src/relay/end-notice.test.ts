import {describe, expect, it} from 'vitest';
import {EndNotice} from './end-notice.js';

describe('EndNotice', () => {
	// Guards against requests that end without an answer since the end of another one failed.
	it('calls all listeners once, although one throws', () => {
		const errors: unknown[] = [];
		const notice = EndNotice.create({
			onError(err) {
				errors.push(err);
			},
		});
		const called: string[] = [];
		const err = new Error('thrown by a listener');
		const removed = () => {
			called.push('removed');
		};

		notice.add(() => {
			called.push('first');
			throw err;
		});
		notice.add(removed);
		notice.add(() => {
			called.push('last');
		});
		notice.remove(removed);
		expect(notice.isGiven).toBe(false);
		notice.give();
		notice.give();
		expect([called, errors, notice.isGiven]).toEqual([['first', 'last'], [err], true]);
	});
});
