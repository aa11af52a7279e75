import type {Link, LinkMessage, RelayMesh} from '../links/index.js';
import type {KeyedRecord, TopicFollower, TopicNews} from '../topics/index.js';

/** News with more bytes than this are not sent along: the store serves a large record to many readers faster than a small VM. */
const maxNewsBytes = 32 * 1024;

/** Link message with news of a topic. */
export type TopicNewsMessage = LinkMessage & {type: 'topic-news'};

/** A topic whose news are passed on. */
export interface DistributedTopic {
	readonly name: string;
	readonly follower: TopicFollower;
	/** Whether a record changes anything compared with those applied before it. Records that do not are not passed on. */
	readonly isNews?: (record: KeyedRecord) => boolean;
}

/** Operations of the mesh that the distribution uses. */
export type NewsMesh = Pick<RelayMesh, 'leader' | 'broadcast'>;

/**
 * Passes on what the leader of a cell reads from the store to the other entry VMs of the cell, so that only one of them
 * reads it. The others read the store themselves while they get no news.
 *
 * @example
 * const distributor = TopicDistributor.create(() => mesh);
 * distributor.add({name: 'targets', follower});
 */
export class TopicDistributor {
	static create(mesh: () => NewsMesh | undefined): TopicDistributor {
		return new TopicDistributor(mesh);
	}

	readonly #topics = new Map<string, DistributedTopic>();
	#feeder: Link | undefined;

	private constructor(private readonly mesh: () => NewsMesh | undefined) {}

	/** Whether another entry VM leads the cell and passes on news. */
	get hasFeeder(): boolean {
		return this.mesh()?.leader() !== undefined;
	}

	/** Distributes a topic; the names must be the same at all entry VMs. */
	add(topic: DistributedTopic): void {
		this.#topics.set(topic.name, topic);
		topic.follower.onRead(news => {
			this.#publish(topic, news);
		});
	}

	/** Handles news from a peer. */
	receive(link: Link, {topic, era = 0, from, next, outageMs, records}: TopicNewsMessage): void {
		this.#feeder = link;
		this.#topics.get(topic)?.follower.receive({
			era, from, next, outageMs, records: records.map(([key, value]) => ({key, value: value ?? undefined})),
		});
	}

	/** Handles the loss of a link: without the one that brought the latest news, the topics are read from the store. */
	linkLost(link: Link): void {
		if (link !== this.#feeder) {
			return;
		}

		for (const {follower} of this.#topics.values()) {
			follower.feederLost();
		}
	}

	#publish({name, isNews}: DistributedTopic, {era, from, next, records, outageMs}: TopicNews): void {
		const mesh = this.mesh();
		if (!mesh || mesh.leader()) {
			return;
		}

		const news = isNews ? selectNews(records, isNews) : records;
		const bytes = news.reduce((sum, {key, value}) => sum + key.length + (value?.length ?? 0), 0);
		const isSentAlong = bytes <= maxNewsBytes;
		mesh.broadcast({
			type: 'topic-news',
			topic: name,
			era,
			// Receivers cannot continue from the end of the news without having read them, so they read the store.
			from: isSentAlong ? from : next,
			next,
			outageMs,
			records: isSentAlong ? news.map(({key, value}): [string, Uint8Array | null] => [key, value ?? null]) : [],
		});
	}
}

/** Returns the records that change something. After the first such record of a key, all further ones of the key count, since each is compared with the state before all of them. */
function selectNews(records: readonly KeyedRecord[], isNews: (record: KeyedRecord) => boolean): KeyedRecord[] {
	const changed = new Set<string>();
	return records.filter(record => {
		if (!changed.has(record.key) && isNews(record)) {
			changed.add(record.key);
		}

		return changed.has(record.key);
	});
}
