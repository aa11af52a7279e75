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

// Guards against ends that disagree on the peer or on the keys of the session.
test('both ends learn each other and share keys by direction', () => {
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

// Guards against a stranger that learns the server's identity or gets an answer.
test('a hello with another key is refused without a reply', () => {
	expect(() => serverSide().read(clientSide(otherKey).start())).toThrow('its MAC does not match');
});

// Guards against a client that trusts any process at the peer's address.
test('a welcome with another key is refused', () => {
	const a = clientSide();
	const impostor = Handshake.create({role: 'client', key: otherKey, self: server});
	expect(() => a.read(impostor.start())).toThrow('its MAC does not match');
});

// Guards against a recorded handshake that is played again.
test('a recorded hello and proof do not open a second session', () => {
	const [a, b] = [clientSide(), serverSide()];
	const hello = a.start();
	const proof = a.read(b.read(hello).send!).send!;
	const fresh = serverSide();
	fresh.read(hello);
	expect(() => fresh.read(proof)).toThrow('its MAC does not match');
});

// Guards against a hello reflected to its sender as a welcome.
test('a reflected hello is no welcome', () => {
	const a = clientSide();
	const hello = a.start();
	expect(() => a.read(hello)).toThrow('its MAC does not match');
});

// Guards against a changed name or zone under a valid MAC.
test.each([2, 3, 4])('a hello with field %i changed is refused', index => {
	const fields = unpackWire(clientSide().start()) as unknown[];
	fields[index] = 'other';
	expect(() => serverSide().read(packWire(fields))).toThrow('its MAC does not match');
});

// Guards against a crash or a silent acceptance when versions differ.
test('a hello of another version is refused by version', () => {
	expect(() => serverSide().read(packWire(['guavamill-link', 2, 'anything']))).toThrow('the peer speaks version 2');
});

// Guards against unbounded or malformed handshake messages.
test.each([
	['too long', new Uint8Array(2000)],
	['empty', new Uint8Array()],
	['not a list', packWire({a: 1})],
	['a short nonce', packWire(['guavamill-link', 1, 'a', 'b', 'c', new Uint8Array(3), new Uint8Array(32)])],
])('a hello that is %s is refused', (_name, bytes) => {
	expect(() => serverSide().read(bytes)).toThrow('Cannot authenticate the peer');
});

// Guards against a key in a log line or an error.
test('a key shows nothing when printed', () => {
	expect(`${String(key)} ${JSON.stringify({key})}`).not.toContain('shared key');
	expect(() => LinkKey.create('short secret')).toThrow(/^Cannot use the link key: it has fewer than 16 bytes$/);
});
