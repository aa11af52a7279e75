import {expect, test} from 'vitest';
import {Handshake} from './handshake.js';
import {LinkKey} from './link-key.js';
import {packWire, unpackWire} from './wire.js';

const key = LinkKey.create('a shared key of the tests');
const client = {name: 'riga-1', zone: 'riga-a', incarnation: 'i1'};
const server = {name: 'riga-2', zone: 'riga-a', incarnation: 'i2'};
const otherKey = LinkKey.create('another key of the tests');
const clientSide = (linkKey = key) => Handshake.create({role: 'client', key: linkKey, self: client});
const serverSide = (linkKey = key) => Handshake.create({role: 'server', key: linkKey, self: server});

// Guards against ends that disagree about the peer's identity or the session keys.
test('both ends obtain the identity of the peer and matching session keys', () => {
	const [a, b] = [clientSide(), serverSide()];
	const welcome = b.read(a.start());
	const proof = a.read(welcome.send!);
	const done = b.read(proof.send!);
	expect(welcome.result).toBeUndefined();
	expect([proof.result!.peer, done.result!.peer]).toEqual([server, client]);
	expect(proof.result!.keys.send).toEqual(done.result!.keys.receive);
	expect(proof.result!.keys.receive).toEqual(done.result!.keys.send);
	expect(proof.result!.keys.send).not.toEqual(proof.result!.keys.receive);
});

// Guards against disclosing the server's identity to a client without the key.
test('a hello with another key is rejected without a reply', () => {
	expect(() => serverSide().read(clientSide(otherKey).start())).toThrow('its MAC does not match');
});

// Guards against a client that accepts any process at the peer's address.
test('a welcome with another key is rejected', () => {
	const a = clientSide();
	const impostor = Handshake.create({role: 'client', key: otherKey, self: server});
	expect(() => a.read(impostor.start())).toThrow('its MAC does not match');
});

// Guards against replay of a recorded handshake.
test('a replayed hello and proof do not open a second session', () => {
	const [a, b] = [clientSide(), serverSide()];
	const hello = a.start();
	const proof = a.read(b.read(hello).send!).send!;
	const secondServer = serverSide();
	secondServer.read(hello);
	expect(() => secondServer.read(proof)).toThrow('its MAC does not match');
});

// Guards against a hello that is reflected to its sender and accepted as a welcome.
test('a reflected hello is rejected', () => {
	const a = clientSide();
	const hello = a.start();
	expect(() => a.read(hello)).toThrow('its MAC does not match');
});

// Guards against identity fields that the MAC does not cover.
test.each([2, 3, 4])('a hello with a modified field %i is rejected', index => {
	const fields = unpackWire(clientSide().start()) as unknown[];
	fields[index] = 'other';
	expect(() => serverSide().read(packWire(fields))).toThrow('its MAC does not match');
});

// Guards against a crash or an unnoticed mismatch when protocol versions differ.
test('a hello of another protocol version is rejected and its version reported', () => {
	expect(() => serverSide().read(packWire(['guavamill-link', 2, 'anything']))).toThrow('the peer uses protocol version 2, this process uses version 1');
});

// Guards against accepting oversized or malformed handshake messages.
test.each([
	['too long', new Uint8Array(2000)],
	['empty', new Uint8Array()],
	['not an array', packWire({a: 1})],
	['sent with a short nonce', packWire(['guavamill-link', 1, 'a', 'b', 'c', new Uint8Array(3), new Uint8Array(32)])],
])('a hello that is %s is rejected', (_name, bytes) => {
	expect(() => serverSide().read(bytes)).toThrow('Cannot authenticate the peer');
});

// Guards against exposing the key in logs or error messages.
test('a printed key does not contain the secret', () => {
	expect(`${String(key)} ${JSON.stringify({key})}`).not.toContain('shared key');
	expect(() => LinkKey.create('short secret')).toThrow(/^Cannot use the link key: it has fewer than 16 bytes$/);
});
