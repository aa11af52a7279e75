import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {type SessionKeys, linkProtocolVersion} from './handshake.js';
import {LinkError} from './link-error.js';

const counterBytes = 4;
/**
 * HMAC-SHA-256 truncated to 96 bits to reduce the size of heartbeats. The short MAC is sufficient, since a wrong one
 * closes the link.
 */
const macBytes = 12;
const headerBytes = 1 + counterBytes + macBytes;
const maxCounter = 0xFF_FF_FF_FF;

/**
 * Encodes and decodes the frames of an authenticated link. A frame consists of the version (1 byte), the counter
 * (4 bytes, starting at 1), the MAC (12 bytes) and the payload. The counter of each direction increases by one per
 * frame, so replayed, lost and reordered frames are rejected.
 *
 * @example
 * const frame = codec.encode(payload);
 */
export class FrameCodec {
	static create(keys: SessionKeys): FrameCodec {
		return new FrameCodec(keys);
	}

	#sentCounter = 0;
	#receivedCounter = 0;

	private constructor(private readonly keys: SessionKeys) {}

	/** Encodes the next frame to send. Throws `LinkError` if the counter is exhausted. */
	encode(payload: Uint8Array): Uint8Array {
		if (this.#sentCounter >= maxCounter) {
			throw LinkError.create('bad_frame', 'Cannot send a frame: the counter of the session is exhausted');
		}

		this.#sentCounter++;
		const frame = Buffer.allocUnsafe(headerBytes + payload.length);
		frame.writeUInt8(linkProtocolVersion, 0);
		frame.writeUInt32BE(this.#sentCounter, 1);
		frame.set(payload, headerBytes);
		frame.set(computeMac(this.keys.send, frame), 1 + counterBytes);
		return frame;
	}

	/**
	 * Verifies a received frame and returns its payload. Throws `LinkError` if the frame is malformed, not authentic or
	 * out of sequence.
	 */
	decode(bytes: Uint8Array): Uint8Array {
		const frame = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
		if (frame.length <= headerBytes || frame.readUInt8(0) !== linkProtocolVersion) {
			throw LinkError.create('bad_frame', 'Cannot read a frame: it is malformed');
		}

		if (!timingSafeEqual(frame.subarray(1 + counterBytes, headerBytes), computeMac(this.keys.receive, frame))) {
			throw LinkError.create('bad_frame', 'Cannot read a frame: its MAC does not match');
		}

		if (frame.readUInt32BE(1) !== this.#receivedCounter + 1) {
			throw LinkError.create('bad_frame', `Cannot read a frame: its counter is ${frame.readUInt32BE(1)}, expected ${this.#receivedCounter + 1}`);
		}

		this.#receivedCounter++;
		return frame.subarray(headerBytes);
	}
}

function computeMac(key: Uint8Array, frame: Buffer): Uint8Array {
	return createHmac('sha256', key).update(frame.subarray(0, 1 + counterBytes)).update(frame.subarray(headerBytes)).digest().subarray(0, macBytes);
}
