import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {type SessionKeys, linkVersion} from './handshake.js';
import {LinkError} from './link-error.js';

const counterBytes = 4;
/** HMAC-SHA-256 cut to 96 bits: each wrong MAC closes the link, so a shorter one saves bytes of each heartbeat. */
const macBytes = 12;
const headerBytes = 1 + counterBytes + macBytes;
const maxCounter = 0xFF_FF_FF_FF;

/**
 * Frames of an authenticated link: version (1 byte), counter (4 bytes, from 1), MAC (12 bytes), payload. The counter
 * of each direction grows by exactly one, so a replayed, lost or reordered frame is refused.
 *
 * @example
 * const frame = codec.seal(payload);
 */
export class FrameCodec {
	static create(keys: SessionKeys): FrameCodec {
		return new FrameCodec(keys);
	}

	#sent = 0;
	#received = 0;

	private constructor(private readonly keys: SessionKeys) {}

	/** Builds the next frame to send; throws `LinkError` when the counter is used up. */
	seal(payload: Uint8Array): Uint8Array {
		if (this.#sent >= maxCounter) {
			throw LinkError.create('bad_frame', 'Cannot send a frame: the counter of the session is used up');
		}

		this.#sent++;
		const frame = Buffer.allocUnsafe(headerBytes + payload.length);
		frame.writeUInt8(linkVersion, 0);
		frame.writeUInt32BE(this.#sent, 1);
		frame.set(payload, headerBytes);
		frame.set(macOf(this.keys.send, frame), 1 + counterBytes);
		return frame;
	}

	/** Checks a received frame and returns its payload; throws `LinkError` when it is not the next authentic frame. */
	open(bytes: Uint8Array): Uint8Array {
		const frame = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
		if (frame.length <= headerBytes || frame.readUInt8(0) !== linkVersion) {
			throw LinkError.create('bad_frame', 'Cannot read a frame: it is malformed');
		}

		if (!timingSafeEqual(frame.subarray(1 + counterBytes, headerBytes), macOf(this.keys.receive, frame))) {
			throw LinkError.create('bad_frame', 'Cannot read a frame: its MAC does not match');
		}

		if (frame.readUInt32BE(1) !== this.#received + 1) {
			throw LinkError.create('bad_frame', `Cannot read a frame: its counter is ${frame.readUInt32BE(1)}, expected ${this.#received + 1}`);
		}

		this.#received++;
		return frame.subarray(headerBytes);
	}
}

function macOf(key: Uint8Array, frame: Buffer): Uint8Array {
	return createHmac('sha256', key).update(frame.subarray(0, 1 + counterBytes)).update(frame.subarray(headerBytes)).digest().subarray(0, macBytes);
}
