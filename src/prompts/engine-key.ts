import {createHash} from 'node:crypto';
import type {RelayTarget} from '../registry/index.js';
import type {EngineKey} from './prompt-work.js';

const keys = new WeakMap<RelayTarget, EngineKey>();

/**
 * Returns a number of 32 bits that names a start of an engine in messages, where its id would be five times as long. Two of
 * 140 engines have the same number in one of 400,000 fleets; the work of both counts for each then.
 *
 * @example
 * work.own(engineKey(target), now);
 */
export function engineKey(target: RelayTarget): EngineKey {
	let key = keys.get(target);
	if (key === undefined) {
		key = createHash('sha256').update(`${target.id}\0${target.entry.startedMs ?? ''}`).digest().readUInt32BE();
		keys.set(target, key);
	}

	return key;
}
