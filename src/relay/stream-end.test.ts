import {describe, expect, it} from 'vitest';
import type {BodyFraming, WholeBodyEnd} from './body-framing.js';
import {canComplete, StreamEnd} from './stream-end.js';

const framings: readonly BodyFraming[] = ['chunked', 'length', 'connection'];
const ends: readonly WholeBodyEnd[] = ['last_chunk', 'length', 'connection_end'];

describe('StreamEnd', () => {
	it.each(framings.flatMap(framing => ends.map(end => ({framing, end}))))('lets $end complete $framing only if that claims no more than is known', ({framing, end}) => {
		const isCompleted = framing === 'connection' || end !== 'connection_end';
		expect(canComplete(framing, end)).toBe(isCompleted);
		expect(StreamEnd.create(framing).findDenial(end) === undefined).toBe(isCompleted);
	});
});
