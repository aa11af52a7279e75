import {expect, test} from 'vitest';
import {emptyConfig} from '../config/fold-config.js';
import type {PeerState} from '../links/index.js';
import type {OperatorDependencies} from './operator-dependencies.js';
import {status} from './vm-status.js';

const peer = (name: string, overrides: Partial<PeerState>): PeerState => ({
	name, zone: 'riga-a', state: 'live', offset: 7, linked: true, lastHeardMs: 100, linkMissingMs: 0, ...overrides,
});

/** Dependencies whose state has the given ages in ms. */
function dependenciesWithAges(ages: {config?: number; log: number; vmList?: number; claims: number}, peers: PeerState[]): OperatorDependencies {
	return {
		config: {
			current: () => emptyConfig, state: 'following', logUnreachableMs: ages.log, logReachableMs: 0, ageMs: ages.config,
		},
		claims: {state: 'following', ageMs: ages.claims},
		vmList: {
			reachable: true, sinceMs: 10, ageMs: ages.vmList, extraIntervalMs: 0, lastSnapshot: undefined,
		},
		lease: {state: 'holding', fencing: 3},
		vm: () => ({
			name: 'riga-1', zone: 'riga-a', incarnation: 'i1', state: 'serving', inFlight: 2,
		}),
		targetCounts: () => ({healthy: 4}),
		peerStatus: () => peers,
	} as unknown as OperatorDependencies;
}

// Guards against a stale component that is not listed, and against false alarms at an age of exactly 4 s.
test('components older than 4 s or never read are stale', () => {
	const fresh = dependenciesWithAges({
		config: 4000, log: 4000, vmList: 4000, claims: 4000,
	}, [peer('riga-2', {lastHeardMs: 4000}), peer('liepaja-1', {zone: 'liepaja-a', linked: false, lastHeardMs: undefined})]);
	expect(status(fresh).stale).toEqual([]);
	const outdated = dependenciesWithAges({log: 4001, claims: Number.POSITIVE_INFINITY}, [
		peer('riga-2', {lastHeardMs: 4001}), peer('riga-3', {linked: false, linkMissingMs: 4001}), peer('riga-4', {linked: false, lastHeardMs: 60_000}),
	]);
	expect(status(outdated).stale).toEqual(['config', 'log', 'vm_list', 'claims', 'peer/riga-2', 'peer/riga-3']);
});

// Guards against a zone that is missing from the status, and against a last-heard time taken from a peer in another zone.
test('zones report their peers, links and the time since the latest frame', () => {
	const {zones, lease} = status(dependenciesWithAges({log: 0, claims: 0}, [
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
