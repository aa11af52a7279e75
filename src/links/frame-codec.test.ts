import {expect, test} from 'vitest';
import {FrameCodec} from './frame-codec.js';

const keys = {send: new Uint8Array(32).fill(1), receive: new Uint8Array(32).fill(2)};
const ends = () => [FrameCodec.create(keys), FrameCodec.create({send: keys.receive, receive: keys.send})] as const;
const payload = new Uint8Array([1, 2, 3]);

// Guards against accepting frames that are duplicated, reordered, preceded by a lost frame, or reflected to the sender.
test('only the next authentic frame is accepted', () => {
	const [a, b] = ends();
	const frames = [a.encode(payload), a.encode(payload), a.encode(payload)];
	expect([...b.decode(frames[0]!)]).toEqual([...payload]);
	expect(() => b.decode(frames[0]!)).toThrow('its counter is 1, expected 2');
	expect(() => b.decode(frames[2]!)).toThrow('its counter is 3, expected 2');
	expect(() => a.decode(frames[1]!)).toThrow('its MAC does not match');
	expect([...b.decode(frames[1]!)]).toEqual([...payload]);
});

// Guards against undetected modification of any byte in a frame.
test('a frame with any byte modified is rejected', () => {
	const [a, b] = ends();
	const frame = a.encode(payload);
	for (let index = 0; index < frame.length; index++) {
		const changed = Uint8Array.from(frame);
		changed[index]! ^= 1;
		expect(() => b.decode(changed)).toThrow('Cannot read a frame');
	}
});

// Guards against reading beyond the end of a short frame.
test.each([0, 1, 16, 17])('a frame of %i bytes is rejected as malformed', length => {
	const [, b] = ends();
	expect(() => b.decode(new Uint8Array(length).fill(1))).toThrow('it is malformed');
});
