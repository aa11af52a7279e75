import {expect, test} from 'vitest';
import {FrameCodec} from './frame-codec.js';

const keys = {send: new Uint8Array(32).fill(1), receive: new Uint8Array(32).fill(2)};
const ends = () => [FrameCodec.create(keys), FrameCodec.create({send: keys.receive, receive: keys.send})] as const;
const payload = new Uint8Array([1, 2, 3]);

// Guards against frames that are delivered twice, out of order, after a gap, or back to their sender.
test('only the next authentic frame is accepted', () => {
	const [a, b] = ends();
	const frames = [a.seal(payload), a.seal(payload), a.seal(payload)];
	expect([...b.open(frames[0]!)]).toEqual([...payload]);
	expect(() => b.open(frames[0]!)).toThrow('its counter is 1, expected 2');
	expect(() => b.open(frames[2]!)).toThrow('its counter is 3, expected 2');
	expect(() => a.open(frames[1]!)).toThrow('its MAC does not match');
	expect([...b.open(frames[1]!)]).toEqual([...payload]);
});

// Guards against a changed byte anywhere in a frame.
test('every changed byte is found', () => {
	const [a, b] = ends();
	const frame = a.seal(payload);
	for (let index = 0; index < frame.length; index++) {
		const changed = Uint8Array.from(frame);
		changed[index]! ^= 1;
		expect(() => b.open(changed)).toThrow('Cannot read a frame');
	}
});

// Guards against a read beyond the end of a short frame.
test.each([0, 1, 16, 17])('a frame of %i bytes is malformed', length => {
	const [, b] = ends();
	expect(() => b.open(new Uint8Array(length).fill(1))).toThrow('it is malformed');
});
