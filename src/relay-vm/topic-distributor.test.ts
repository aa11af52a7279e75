import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import type {Link, LinkMessage} from '../links/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {
	TopicFollower, type KeyedPage, type KeyedRecord, type KeyedSnapshot, type KeyedTopic,
} from '../topics/index.js';
import {TopicDistributor, type TopicNewsMessage} from './topic-distributor.js';

/** In-memory topic that counts its calls and can be unreachable for some readers. */
class FakeTopic {
	readonly records: KeyedRecord[] = [];
	readonly unreachableFor = new Set<number>();
	era = 1;
	calls = 0;

	readerOf(member: number): KeyedTopic {
		const call = () => {
			this.calls++;
			if (this.unreachableFor.has(member)) {
				throw new Error('down');
			}
		};

		return {
			newest: async (): Promise<KeyedSnapshot> => {
				call();
				return {records: [...this.records], end: this.records.length, era: this.era};
			},
			read: async (from: number): Promise<KeyedPage> => {
				call();
				return from > this.records.length
					? {kind: 'expired', era: this.era}
					: {
						kind: 'records', records: this.records.slice(from), next: this.records.length, era: this.era,
					};
			},
		};
	}
}

const anyLink = Object.create(null) as Link;
const record = (key: string, value: string | undefined): KeyedRecord => ({key, value: value === undefined ? undefined : Buffer.from(value)});

/** A cell whose first member that is not lost leads; news arrive at once. */
class Cell {
	readonly clock = ManualClock.create();
	readonly topic = new FakeTopic();
	readonly lost = new Set<number>();
	readonly members: Array<{state: Map<string, string>; outages: number[]; follower: TopicFollower; distributor: TopicDistributor}> = [];
	newsRecords = 0;

	constructor(size: number) {
		for (let member = 0; member < size; member++) {
			this.members.push(this.#createMember(member));
		}
	}

	get leader(): number {
		return this.members.findIndex((_, member) => !this.lost.has(member));
	}

	start(): void {
		for (const {follower} of this.members) {
			follower.start();
		}
	}

	lose(member: number): void {
		this.lost.add(member);
		this.members[member]!.follower.stop();
		for (const {distributor} of this.members) {
			distributor.linkLost(anyLink);
		}
	}

	/** Values that the members hold, without duplicates. */
	states(): string[] {
		return [...new Set(this.members.filter((_, member) => !this.lost.has(member)).map(({state}) => [...state].map(([key, value]) => `${key}=${value}`).toSorted().join(' ')))];
	}

	#createMember(member: number) {
		const state = new Map<string, string>();
		const outages: number[] = [];
		const apply = (records: readonly KeyedRecord[]) => {
			for (const {key, value} of records) {
				if (value) {
					state.set(key, value.toString());
				} else {
					state.delete(key);
				}
			}
		};

		const distributor = TopicDistributor.create(() => ({
			leader: () => member === this.leader ? undefined : anyLink,
			broadcast: message => {
				this.#broadcast(message);
			},
		}));
		const follower = TopicFollower.create({
			name: 'targets',
			topic: this.topic.readerOf(member),
			clock: this.clock,
			logger: silentLoggerFactory('targets'),
			pollMs: 800,
			waitMs: 0,
			hasFeeder: () => distributor.hasFeeder,
			onSnapshot({records}) {
				state.clear();
				apply(records);
			},
			onRecords: apply,
			onRecovered: outageMs => outages.push(outageMs),
		});
		distributor.add({name: 'targets', follower, isNews: ({key, value}) => state.get(key) !== value?.toString()});
		return {
			state, outages, follower, distributor,
		};
	}

	#broadcast(message: LinkMessage): void {
		const news = message as TopicNewsMessage;
		this.newsRecords += news.records.length;
		for (const [member, {distributor}] of this.members.entries()) {
			if (member !== this.leader && !this.lost.has(member)) {
				distributor.receive(anyLink, news);
			}
		}
	}
}

function start(size: number): Cell {
	const cell = new Cell(size);
	cell.topic.records.push(record('a', '1'), record('b', '1'));
	cell.start();
	return cell;
}

describe('TopicDistributor', () => {
	// Guards against calls to the store that grow with the number of entry VMs: each would read every 0.8 s.
	it('lets one of 200 members read the store, and the others only at their start', async () => {
		const cell = start(200);
		await cell.clock.advance(2000);
		const {calls} = cell.topic;
		expect(calls).toBeLessThanOrEqual(200 * 2);
		cell.topic.records.push(record('a', '2'), record('c', '1'), record('b', undefined));
		await cell.clock.advance(60_000);
		expect(cell.states()).toEqual(['a=2 c=1']);
		expect(cell.topic.calls - calls).toBeLessThanOrEqual((60_000 / 800) + 1);
	});

	// Guards against a confirmed change that stays out of force at most entry VMs: the leader has read the restored store,
	// and its news end at an offset that the others have reached in the lost history.
	it('brings members of a lost history to that of the leader when the store has been restored', async () => {
		const cell = start(20);
		cell.topic.records.push(record('c', '1'), record('d', '1'));
		await cell.clock.advance(2000);
		for (let member = 1; member < 20; member++) {
			cell.topic.unreachableFor.add(member);
		}

		cell.topic.era++;
		cell.topic.records.splice(2);
		await cell.clock.advance(1700);
		cell.topic.unreachableFor.clear();
		cell.topic.records.push(record('c', '2'), record('a', '2'));
		await cell.clock.advance(1700);
		expect([...new Set(cell.members.map(({state}) => `${state.get('a')} ${state.get('c')}`))]).toEqual(['2 2']);
	});

	// Guards against passing on the records by which targets only show that they are alive.
	it('passes on only records that change something, and all records of a key after the first such one', async () => {
		const cell = start(3);
		await cell.clock.advance(1000);
		cell.topic.records.push(record('a', '1'), record('b', '1'));
		await cell.clock.advance(1000);
		expect(cell.newsRecords).toBe(0);
		// The last record of the key equals the state before all of them.
		cell.topic.records.push(record('a', undefined), record('a', '1'));
		await cell.clock.advance(1000);
		expect([cell.newsRecords, cell.states()]).toEqual([2, ['a=1 b=1']]);
	});

	// Guards against members that know nothing new while their leader is cut off from the store, or lost.
	it.each([
		{
			fault: 'cannot reach the store', apply(cell: Cell) {
				cell.topic.unreachableFor.add(0);
			},
		},
		{
			fault: 'is lost', apply(cell: Cell) {
				cell.lose(0);
			},
		},
	])('lets the members read the store themselves when their leader $fault', async ({apply}) => {
		const cell = start(5);
		await cell.clock.advance(3000);
		apply(cell);
		cell.topic.records.push(record('a', '2'));
		await cell.clock.advance(2500);
		expect(cell.members.slice(1).map(({state}) => state.get('a'))).toEqual(['2', '2', '2', '2']);
	});

	// Guards against removing targets whose entries expired in an outage that only the leader has noticed.
	it('passes on the length of an outage', async () => {
		const cell = start(3);
		await cell.clock.advance(1700);
		cell.topic.unreachableFor.add(0);
		await cell.clock.advance(1000);
		cell.topic.unreachableFor.clear();
		await cell.clock.advance(1000);
		expect(cell.members.map(({outages}) => outages.length)).toEqual([1, 1, 1]);
	});

	// Guards against members that all read the store whenever a link that is no longer needed closes.
	it('reads the store after the loss of the link to the leader only', async () => {
		const cell = start(20);
		await cell.clock.advance(2000);
		const {calls} = cell.topic;
		for (const {distributor} of cell.members) {
			distributor.linkLost(Object.create(null) as Link);
		}

		await cell.clock.advance(200);
		expect(cell.topic.calls - calls).toBeLessThanOrEqual(1);
	});

	// Guards against a small VM that sends every large configuration to all others.
	it('does not send large records along: members read them from the store', async () => {
		const cell = start(20);
		await cell.clock.advance(2000);
		const {calls} = cell.topic;
		cell.topic.records.push(record('a', 'x'.repeat(100_000)));
		await cell.clock.advance(1000);
		expect(cell.newsRecords).toBe(0);
		expect(cell.states()).toHaveLength(1);
		expect(cell.members[19]!.state.get('a')).toHaveLength(100_000);
		expect(cell.topic.calls - calls).toBeLessThanOrEqual(20 + 3);
	});

	// Guards against refused calls of a whole fleet while the store is down.
	it('reads an unreachable store less often at members than at the leader, and all know of its return at once', async () => {
		const cell = start(100);
		await cell.clock.advance(2000);
		for (let member = 0; member < 100; member++) {
			cell.topic.unreachableFor.add(member);
		}

		const {calls} = cell.topic;
		await cell.clock.advance(20_000);
		expect((cell.topic.calls - calls) / 100).toBeLessThan(20 / 2);
		cell.topic.unreachableFor.clear();
		cell.topic.records.push(record('a', '2'));
		await cell.clock.advance(900);
		expect(cell.states()).toEqual(['a=2 b=1']);
	});
});
