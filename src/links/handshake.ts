import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';
import {LinkError} from './link-error.js';
import type {LinkIdentity} from './link-identity.js';
import type {LinkKey} from './link-key.js';
import {packWire, unpackWire} from './wire.js';

/** Version of the protocol between entry VMs. */
export const linkVersion = 1;
/** Longest handshake message; names and incarnations are short. */
export const maxHandshakeBytes = 1024;

const nonceBytes = 16;
const macBytes = 32;
const protocol = 'guavamill-link';
const bytes = (length: number) => z.instanceof(Uint8Array).refine(value => value.length === length);
const name = z.string().min(1).max(63);
const identityFields = [name, name, z.string().min(1).max(64)] as const;
// Protocol name and version stay in front in every version, so that any version can be told.
const prefixSchema = z.tuple([z.literal(protocol), z.number().int()]).rest(z.unknown());
const helloSchema = z.tuple([z.literal(protocol), z.literal(linkVersion), ...identityFields, bytes(nonceBytes), bytes(macBytes)]);
const proofSchema = z.tuple([z.literal(protocol), z.literal(linkVersion), bytes(macBytes)]);

/** Keys of an authenticated session, one for each direction, so that no frame can be reflected. */
export interface SessionKeys {
	readonly send: Uint8Array;
	readonly receive: Uint8Array;
}

/** Outcome of a handshake. */
export interface HandshakeResult {
	readonly peer: LinkIdentity;
	readonly keys: SessionKeys;
}

type Side = {identity: LinkIdentity; nonce: Uint8Array};

/** What to do after a handshake message: reply with `send` where present; `result` ends the handshake. */
export interface HandshakeStep {
	readonly send?: Uint8Array;
	readonly result?: HandshakeResult;
}

/**
 * Mutual authentication with the shared key, in three messages: hello (client), welcome (server), proof (client).
 * Each carries an HMAC-SHA-256; those of welcome and proof cover both nonces, both identities and the sender's role.
 * The hello has one too, so that a process without the key gets no reply at all. A recorded hello gets a welcome
 * but cannot be completed, since the proof covers the server's fresh nonce.
 *
 * @example
 * const handshake = Handshake.create({role: 'client', key, self});
 * socket.send(handshake.start());
 */
export class Handshake {
	static create(options: {role: 'client' | 'server'; key: LinkKey; self: LinkIdentity; nonce?: Uint8Array}): Handshake {
		return new Handshake(options.role, options.key, {identity: options.self, nonce: options.nonce ?? randomBytes(nonceBytes)});
	}

	#peer: Side | undefined;

	private constructor(private readonly role: 'client' | 'server', private readonly key: LinkKey, private readonly self: Side) {}

	/** The client's hello. */
	start(): Uint8Array {
		return this.#introduce(this.#mac('hello', [this.self]));
	}

	/** Reads the peer's next message; throws `LinkError` when it is not authentic. */
	read(message: Uint8Array): HandshakeStep {
		if (this.role === 'server' && this.#peer) {
			return this.#readProof(message);
		}

		const {side, mac} = readIntroduction(message);
		this.#peer = side;
		if (this.role === 'server') {
			this.#verify(mac, this.#mac('hello', [side]));
			return {send: this.#introduce(this.#mac('server', this.#sides()))};
		}

		this.#verify(mac, this.#mac('server', this.#sides()));
		return {send: packWire([protocol, linkVersion, this.#mac('client', this.#sides())]), result: this.#result()};
	}

	#readProof(message: Uint8Array): HandshakeStep {
		const proof = proofSchema.safeParse(unpack(message));
		if (!proof.success) {
			throw LinkError.create('bad_handshake', 'Cannot authenticate the peer: its proof is malformed');
		}

		this.#verify(proof.data[2], this.#mac('client', this.#sides()));
		return {result: this.#result()};
	}

	#introduce(mac: Uint8Array): Uint8Array {
		const {identity, nonce} = this.self;
		return packWire([protocol, linkVersion, identity.name, identity.zone, identity.incarnation, nonce, mac]);
	}

	/** Client first. */
	#sides(): Side[] {
		return this.role === 'client' ? [this.self, this.#peer!] : [this.#peer!, this.self];
	}

	#mac(label: string, sides: readonly Side[]): Uint8Array {
		const hmac = createHmac('sha256', this.key.reveal());
		const fields = [protocol, String(linkVersion), label, ...sides.flatMap(side => [side.identity.name, side.identity.zone, side.identity.incarnation, side.nonce])];
		for (const field of fields) {
			// Lengths keep neighbouring fields apart.
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
		const toServer = this.#mac('session to server', this.#sides());
		const toClient = this.#mac('session to client', this.#sides());
		return {
			peer: this.#peer!.identity,
			keys: this.role === 'client' ? {send: toServer, receive: toClient} : {send: toClient, receive: toServer},
		};
	}
}

function unpack(message: Uint8Array): unknown {
	if (message.length > maxHandshakeBytes) {
		throw LinkError.create('bad_handshake', `Cannot authenticate the peer: its message has ${message.length} bytes`);
	}

	try {
		return unpackWire(message);
	} catch {
		throw LinkError.create('bad_handshake', 'Cannot authenticate the peer: its message is malformed');
	}
}

function readIntroduction(message: Uint8Array): {side: Side; mac: Uint8Array} {
	const value = unpack(message);
	const prefix = prefixSchema.safeParse(value);
	if (prefix.success && prefix.data[1] !== linkVersion) {
		throw LinkError.create('unknown_version', `Cannot link: the peer speaks version ${prefix.data[1]}, this process version ${linkVersion}`);
	}

	const parsed = helloSchema.safeParse(value);
	if (!parsed.success) {
		throw LinkError.create('bad_handshake', 'Cannot authenticate the peer: its message is malformed');
	}

	const [peerName, zone, incarnation, nonce, mac] = parsed.data.slice(2) as [string, string, string, Uint8Array, Uint8Array];
	return {side: {identity: {name: peerName, zone, incarnation}, nonce}, mac};
}
