import fc from 'fast-check';
import {expect, test} from 'vitest';
import {LinkError} from './link-error.js';
import {decodeLinkMessage, encodeLinkMessage, linkMessageTypes} from './link-message.js';
import {packWire} from './wire.js';

// Guards against messages or timestamps that change when encoded and decoded.
test('a decoded message equals the encoded one', () => {
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

// Guards against closing the link to a newer peer that sends a new message type.
test('a message of unknown type is ignored', () => {
	expect(decodeLinkMessage(packWire([linkMessageTypes.length, {}]))).toBeUndefined();
});

// Guards against accepting malformed messages from an authenticated peer.
test.each([
	['no array', packWire('x')],
	['a field of the wrong type', packWire([4, {target: 1, startId: 's'}])],
	['an unknown field', packWire([4, {target: 't', startId: 's', more: 1}])],
	['an invalid timestamp', packWire([4, {target: 't', startId: 's'}, [-1, 0]])],
	['truncated bytes', encodeLinkMessage({type: 'draining', target: 't', startId: 's'}).subarray(0, 9)],
])('a message with %s is rejected', (_name, bytes) => {
	expect(() => decodeLinkMessage(bytes)).toThrow('Cannot read a message');
});

// Guards against a payload from a faulty peer that ends the process instead of closing the link.
test('any payload is decoded, ignored as unknown, or rejected with LinkError', () => {
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
