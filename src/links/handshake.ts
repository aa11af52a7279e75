import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';
import {LinkError} from './link-error.js';
import type {LinkIdentity} from './link-identity.js';
import type {LinkKey} from './link-key.js';
import {packWire, unpackWire} from './wire.js';

/** Version of the link protocol. */
export const linkProtocolVersion = 1;
/** Maximum size of a handshake message; names and incarnations are short. */
export const maxHandshakeBytes = 1024;

const nonceBytes = 16;
const macBytes = 32;
const protocolName = 'guavamill-link';
const bytes = (length: number) => z.instanceof(Uint8Array).refine(value => value.length === length);
const name = z.string().min(1).max(63);
const identityFields = [name, name, z.string().min(1).max(64)] as const;
// Every protocol version must start with the protocol name and version, so that a version mismatch can be reported.
const prefixSchema = z.tuple([z.literal(protocolName), z.number().int()]).rest(z.unknown());
const helloSchema = z.tuple([z.literal(protocolName), z.literal(linkProtocolVersion), ...identityFields, bytes(nonceBytes), bytes(macBytes)]);
const proofSchema = z.tuple([z.literal(protocolName), z.literal(linkProtocolVersion), bytes(macBytes)]);

/** Keys of an authenticated session. Each direction has its own key, which prevents reflection of frames. */
export interface SessionKeys {
	readonly send: Uint8Array;
	readonly receive: Uint8Array;
}

/** Result of a completed handshake. */
export interface HandshakeResult {
	readonly peer: LinkIdentity;
	readonly keys: SessionKeys;
}

type Participant = {identity: LinkIdentity; nonce: Uint8Array};

/** Outcome of reading a handshake message. `send` is the reply, if any; `result` is present once the handshake is complete. */
export interface HandshakeStep {
	readonly send?: Uint8Array;
	readonly result?: HandshakeResult;
}

/**
 * Mutual authentication with the shared key in three messages: hello (client), welcome (server) and proof (client).
 * Each message carries an HMAC-SHA-256. The MACs of welcome and proof cover both nonces, both identities and the
 * sender's role. The hello is authenticated too, so that a process without the key receives no reply. A replayed hello
 * is answered with a welcome, but the handshake cannot be completed, since the proof covers the server's new nonce.
 *
 * @example
 * const handshake = Handshake.create({role: 'client', key, self});
 * socket.send(handshake.start());
 */
export class Handshake {
	static create(options: {role: 'client' | 'server'; key: LinkKey; self: LinkIdentity; nonce?: Uint8Array}): Handshake {
		return new Handshake(options.role, options.key, {identity: options.self, nonce: options.nonce ?? randomBytes(nonceBytes)});
	}

	#peer: Participant | undefined;

	private constructor(private readonly role: 'client' | 'server', private readonly key: LinkKey, private readonly self: Participant) {}

	/** Returns the client's hello. */
	start(): Uint8Array {
		return this.#encodeHello(this.#mac('hello', [this.self]));
	}

	/** Reads the peer's next message. Throws `LinkError` if it is malformed or not authentic. */
	read(message: Uint8Array): HandshakeStep {
		if (this.role === 'server' && this.#peer) {
			return this.#readProof(message);
		}

		const {participant, mac} = parseHello(message);
		this.#peer = participant;
		if (this.role === 'server') {
			this.#verify(mac, this.#mac('hello', [participant]));
			return {send: this.#encodeHello(this.#mac('server', this.#participants()))};
		}

		this.#verify(mac, this.#mac('server', this.#participants()));
		return {send: packWire([protocolName, linkProtocolVersion, this.#mac('client', this.#participants())]), result: this.#result()};
	}

	#readProof(message: Uint8Array): HandshakeStep {
		const proof = proofSchema.safeParse(unpack(message));
		if (!proof.success) {
			throw LinkError.create('bad_handshake', 'Cannot authenticate the peer: its proof is malformed');
		}

		this.#verify(proof.data[2], this.#mac('client', this.#participants()));
		return {result: this.#result()};
	}

	/** Encodes the client's hello or the server's welcome, which have the same format. */
	#encodeHello(mac: Uint8Array): Uint8Array {
		const {identity, nonce} = this.self;
		return packWire([protocolName, linkProtocolVersion, identity.name, identity.zone, identity.incarnation, nonce, mac]);
	}

	/** Both participants, the client first. */
	#participants(): Participant[] {
		return this.role === 'client' ? [this.self, this.#peer!] : [this.#peer!, this.self];
	}

	#mac(label: string, participants: readonly Participant[]): Uint8Array {
		const hmac = createHmac('sha256', this.key.reveal());
		const fields = [protocolName, String(linkProtocolVersion), label, ...participants.flatMap(participant => [participant.identity.name, participant.identity.zone, participant.identity.incarnation, participant.nonce])];
		for (const field of fields) {
			// Length prefixes make the concatenation of fields unambiguous.
			const length = Buffer.alloc(4);
			length.writeUInt32BE(Buffer.byteLength(field));
			hmac.update(length).update(field);
		}

		return hmac.digest();
	}

	#verify(actual: Uint8Array, expected: Uint8Array): void {
		if (!timingSafeEqual(actual, expected)) {
			throw LinkError.create('bad_handshake', 'Cannot authenticate the peer: its MAC does not match');
		}
	}

	#result(): HandshakeResult {
		const toServer = this.#mac('session to server', this.#participants());
		const toClient = this.#mac('session to client', this.#participants());
		return {
			peer: this.#peer!.identity,
			keys: this.role === 'client' ? {send: toServer, receive: toClient} : {send: toClient, receive: toServer},
		};
	}
}

function unpack(message: Uint8Array): unknown {
	if (message.length > maxHandshakeBytes) {
		throw LinkError.create('bad_handshake', `Cannot authenticate the peer: its message is too long, ${message.length} bytes`);
	}

	try {
		return unpackWire(message);
	} catch {
		throw LinkError.create('bad_handshake', 'Cannot authenticate the peer: its message is malformed');
	}
}

/** Parses the client's hello or the server's welcome, without verifying its MAC. */
function parseHello(message: Uint8Array): {participant: Participant; mac: Uint8Array} {
	const value = unpack(message);
	const prefix = prefixSchema.safeParse(value);
	if (prefix.success && prefix.data[1] !== linkProtocolVersion) {
		throw LinkError.create('unknown_version', `Cannot establish a link: the peer uses protocol version ${prefix.data[1]}, this process uses version ${linkProtocolVersion}`);
	}

	const parsed = helloSchema.safeParse(value);
	if (!parsed.success) {
		throw LinkError.create('bad_handshake', 'Cannot authenticate the peer: its message is malformed');
	}

	const [peerName, zone, incarnation, nonce, mac] = parsed.data.slice(2) as [string, string, string, Uint8Array, Uint8Array];
	return {participant: {identity: {name: peerName, zone, incarnation}, nonce}, mac};
}
