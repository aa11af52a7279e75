import {Packr, Unpackr} from 'msgpackr';

// Only plain arrays and maps are used: record extensions would let a peer define structures that later frames depend on.
const options = {useRecords: false, mapsAsObjects: true, int64AsType: 'number' as const};
const packr = new Packr(options);
const unpackr = new Unpackr(options);

/** Encodes a value as MessagePack. @internal */
export function packWire(value: unknown): Uint8Array {
	return packr.pack(value);
}

/** Decodes a MessagePack value. Throws if the bytes are malformed. @internal */
export function unpackWire(bytes: Uint8Array): unknown {
	return unpackr.unpack(bytes);
}
