import {Buffer} from 'node:buffer';
import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import type {TargetEntry} from '../registry/index.js';
import type {RelayDeclarations} from '../routes/index.js';
import type {KeyedRecord, KeyedTopic} from '../topics/index.js';
import {StoreTopics} from './store-topics.js';

const ignore = () => undefined;
const record = (key: string, value: string | undefined): KeyedRecord => ({key, value: value === undefined ? undefined : Buffer.from(value)});

/** Topic with records by offset, whose reads take as long as those of the store may; unreachable without records. */
function topicOf(clock: ManualClock, records: readonly KeyedRecord[] | undefined, later: readonly KeyedRecord[] = []): KeyedTopic {
	return {
		async newest() {
			if (!records) {
				throw new Error('down');
			}

			return {records, end: records.length, era: 1};
		},
		async read(from, waitMs) {
			if (from === (records?.length ?? 0) + later.length) {
				await clock.sleep(Math.max(1, waitMs));
			}

			return {
				kind: 'records', records: [...records ?? [], ...later].slice(from), next: (records?.length ?? 0) + later.length, era: 1,
			};
		},
	};
}

async function start({versions = [], quarantine, targets = [], laterTargets = []}: {versions?: readonly number[]; quarantine?: readonly KeyedRecord[]; targets?: readonly KeyedRecord[]; laterTargets?: readonly KeyedRecord[]}) {
	const clock = ManualClock.create();
	const calls: string[] = [];
	const logger = silentLoggerFactory('targets');
	const topics = StoreTopics.create({
		clock,
		configLogger: logger,
		targetLogger: logger,
		mesh: () => undefined,
		configTopic: topicOf(clock, versions.map(version => record('configuration', String(version)))),
		targetTopic: topicOf(clock, targets, laterTargets),
		quarantineTopic: topicOf(clock, quarantine),
		decodeDeclarations: ({value}) => ({
			version: Number(value?.toString()), routes: [], teams: [], services: new Map(),
		}) as unknown as RelayDeclarations,
		decodeEvacuation: () => undefined,
		decodeTarget: ({key, value}) => value?.toString() === 'entry' ? {id: key} as unknown as TargetEntry : undefined,
		registry: {
			put({id}) {
				calls.push(`put ${id}`);
			},
			remove(id) {
				calls.push(`remove ${id}`);
			},
			merge: ignore,
			replace(entries, held) {
				calls.push(`replace ${entries.map(({id}) => id).join(' ')}, hold ${[...held ?? []].join(' ')}`);
			},
			storeRecovered: ignore,
		},
		placement: {applySnapshot: ignore, applyRecords: ignore},
		quarantine: {applySnapshot: ignore, applyRecords: ignore},
		onConfiguration(table) {
			calls.push(`version ${table.version}`);
		},
		onTargets() {
			calls.push('targets');
		},
	});
	topics.start();
	await clock.advance(0);
	return {clock, topics, calls};
}

// Guards against an entry VM that never serves while the topic of the quarantine cannot be read, or serves before it had a chance to be.
test('quarantined parts that cannot be read count as unknown for a second after the first configuration', async () => {
	const {clock, topics} = await start({versions: [3]});
	await clock.advance(999);
	expect(topics.isQuarantineKnown).toBe(false);
	await clock.advance(1);
	expect(topics.isQuarantineKnown).toBe(true);
	topics.stop();
});

// Guards against requests that are accepted on the word of a timeout that nothing has started.
test('quarantined parts stay unknown without a configuration, and are known once they have been read', async () => {
	const unread = await start({});
	await unread.clock.advance(60_000);
	expect(unread.topics.isQuarantineKnown).toBe(false);
	unread.topics.stop();
	const read = await start({quarantine: []});
	expect(read.topics.isQuarantineKnown).toBe(true);
	read.topics.stop();
});

// Guards against an older configuration that replaces a newer one.
test('only newer versions come into force', async () => {
	const {topics, calls} = await start({versions: [3, 2, 3, 5]});
	expect(calls.filter(call => call.startsWith('version'))).toEqual(['version 3', 'version 5']);
	expect(topics.table?.version).toBe(5);
	topics.stop();
});

// Guards against targets that are lost because of a record that cannot be decoded.
test('a malformed record holds its target, a deleted one removes it', async () => {
	const {clock, topics, calls} = await start({targets: [record('a', 'entry'), record('b', 'malformed')], laterTargets: [record('a', 'malformed'), record('c', 'entry'), record('b', undefined)]});
	await clock.advance(1000);
	expect(calls).toEqual(['replace a, hold b', 'targets', 'put c', 'remove b']);
	expect(topics.hasTargets).toBe(true);
	topics.stop();
});
