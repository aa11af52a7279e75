import {expect, test} from 'vitest';
import {emptyConfig} from '../config/fold-config.js';
import type {PeerState} from '../links/index.js';
import type {OperatorParts} from './operator-parts.js';
import {status} from './vm-status.js';

const peer = (name: string, facts: Partial<PeerState>): PeerState => ({
	name, zone: 'riga-a', state: 'live', offset: 7, linked: true, lastHeardMs: 100, linkMissingMs: 0, ...facts,
});

/** Parts of an entry VM whose sources have the given ages in ms. */
function partsOf(ages: {config?: number; log: number; vmList?: number; claims: number}, peers: PeerState[]): OperatorParts {
	return {
		config: {
			current: () => emptyConfig, state: 'following', unreachableMs: ages.log, reachableMs: 0, ageMs: ages.config,
		},
		claims: {state: 'following', ageMs: ages.claims},
		vmList: {
			reachable: true, sinceMs: 10, ageMs: ages.vmList, extraIntervalMs: 0, last: undefined,
		},
		lease: {state: 'holding', fencing: 3},
		vm: () => ({
			name: 'riga-1', zone: 'riga-a', incarnation: 'i1', state: 'serving', inFlight: 2,
		}),
		targetCounts: () => ({healthy: 4}),
		peerStatus: () => peers,
	} as unknown as OperatorParts;
}

// Guards against a part that is stale without being named, and against alarms at the bound of 4 s itself.
test('parts beyond 4 s are stale, and parts that were never read', () => {
	const fresh = partsOf({
		config: 4000, log: 4000, vmList: 4000, claims: 4000,
	}, [peer('riga-2', {lastHeardMs: 4000}), peer('liepaja-1', {zone: 'liepaja-a', linked: false, lastHeardMs: undefined})]);
	expect(status(fresh).stale).toEqual([]);
	const old = partsOf({log: 4001, claims: Number.POSITIVE_INFINITY}, [
		peer('riga-2', {lastHeardMs: 4001}), peer('riga-3', {linked: false, linkMissingMs: 4001}), peer('riga-4', {linked: false, lastHeardMs: 60_000}),
	]);
	expect(status(old).stale).toEqual(['config', 'log', 'vm_list', 'claims', 'peer/riga-2', 'peer/riga-3']);
});

// Guards against a zone that is not shown, or shown as heard through a peer of another zone.
test('zones count their peers and links and tell the latest frame', () => {
	const {zones, lease} = status(partsOf({log: 0, claims: 0}, [
		peer('riga-2', {}), peer('liepaja-1', {
			zone: 'liepaja-a', state: 'suspect', linked: false, lastHeardMs: 9000,
		}), peer('liepaja-2', {zone: 'liepaja-a', lastHeardMs: 5000}),
	]));
	expect(zones).toEqual([
		{
			name: 'riga-a', own: true, peers: {live: 1}, links: 1, lastHeardMs: 100,
		},
		{
			name: 'liepaja-a', own: false, peers: {suspect: 1, live: 1}, links: 1, lastHeardMs: 5000,
		},
	]);
	expect(lease).toEqual({state: 'holding', fencing: 3n});
});
