import fc from 'fast-check';
import {expect, test} from 'vitest';
import {LinkError} from './link-error.js';
import {decodeLinkMessage, encodeLinkMessage, linkMessageTypes} from './link-message.js';
import {packWire} from './wire.js';

// Guards against a message or its time that changes on the wire.
test('a message and its time pass the wire', () => {
	const message = {
		type: 'forward', id: 3, requestId: 'r', to: 'i', pipeline: 'p', body: '{}', remainingMs: 20.5, hops: 1,
	} as const;
	expect(decodeLinkMessage(encodeLinkMessage(message, [1_700_000_000_123, 4]))).toEqual({message, time: [1_700_000_000_123, 4]});
	const digest = {
		type: 'digest', digest: {
			s: 2, b: 1, f: [[0, 3]], o: 7,
		},
	} as const;
	expect(decodeLinkMessage(encodeLinkMessage(digest as never))?.message).toEqual(digest);
	expect(decodeLinkMessage(encodeLinkMessage({type: 'digest'}))?.message).toEqual({type: 'digest'});
	expect(decodeLinkMessage(encodeLinkMessage({type: 'ping'}))).toEqual({message: {type: 'ping'}, time: undefined});
});

// Guards against a newer peer that cannot be linked because of one new type.
test('an unknown type is ignored', () => {
	expect(decodeLinkMessage(packWire([linkMessageTypes.length, {}]))).toBeUndefined();
});

// Guards against malformed messages of an authenticated peer.
test.each([
	['no list', packWire('x')],
	['a field of another type', packWire([4, {target: 1, startId: 's'}])],
	['a surplus field', packWire([4, {target: 't', startId: 's', more: 1}])],
	['a bad time', packWire([4, {target: 't', startId: 's'}, [-1, 0]])],
	['cut bytes', encodeLinkMessage({type: 'draining', target: 't', startId: 's'}).subarray(0, 9)],
])('a message with %s is refused', (_name, bytes) => {
	expect(() => decodeLinkMessage(bytes)).toThrow('Cannot read a message');
});

// Guards against a payload of a faulty peer that ends the process instead of the link.
test('any payload is a message, unknown, or a malformed frame', () => {
	const body = fc.dictionary(fc.string({maxLength: 12}), fc.anything({maxDepth: 2, withDate: false}));
	const envelope = fc.tuple(fc.integer({min: -1, max: linkMessageTypes.length + 1}), fc.oneof(body, fc.array(fc.anything({maxDepth: 1}), {maxLength: 9})), fc.anything({maxDepth: 1})).map(value => packWire(value));
	fc.assert(fc.property(fc.oneof(envelope, fc.uint8Array()), payload => {
		let decoded: ReturnType<typeof decodeLinkMessage>;
		try {
			decoded = decodeLinkMessage(payload);
		} catch (err) {
			expect(err).toBeInstanceOf(LinkError);
			return;
		}

		expect(decoded === undefined || linkMessageTypes.includes(decoded.message.type)).toBe(true);
	}), {seed: 41, numRuns: 3000});
});
