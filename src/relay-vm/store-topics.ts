import type {Clock, Ms} from '../clock/index.js';
import type {Link, RelayMesh} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import type {Placement} from '../placement/index.js';
import type {PromptQuarantine} from '../quarantine/index.js';
import type {TargetEntry, TargetRegistry} from '../registry/index.js';
import {RouteTable, type ServiceDeclaration} from '../routes/index.js';
import {TopicFollower, type KeyedRecord} from '../topics/index.js';
import {configLongPollMs} from './config-read-times.js';
import {judgeDeclarations} from './judge-declarations.js';
import type {RelayVmOptions} from './relay-vm-options.js';
import {TargetNews} from './target-news.js';
import {TopicDistributor, type TopicNewsMessage} from './topic-distributor.js';

/** Long-poll duration of reads of the quarantined prompt parts, which links carry as well, and the pause between them. */
const quarantineLongPollMs: Ms = 10_000;
const quarantinePollMs: Ms = 100;
/** Time after the first configuration for which requests are rejected while the quarantined prompt parts are unknown. */
const quarantineTimeoutMs: Ms = 1000;
/** Pause between reads of the target entries. */
const targetPollIntervalMs: Ms = 800;

/** Options of {@link StoreTopics}. */
export interface StoreTopicsOptions extends Pick<RelayVmOptions, 'configTopic' | 'targetTopic' | 'quarantineTopic' | 'vmListFollower' | 'decodeDeclarations' | 'decodeEvacuation' | 'decodeTarget'> {
	readonly clock: Clock;
	readonly configLogger: PartLogger;
	readonly targetLogger: PartLogger;
	readonly mesh: () => Pick<RelayMesh, 'leader' | 'broadcast'> | undefined;
	readonly registry: Pick<TargetRegistry, 'put' | 'remove' | 'merge' | 'replace' | 'storeRecovered'>;
	readonly placement: Pick<Placement, 'applySnapshot' | 'applyRecords'>;
	readonly quarantine: Pick<PromptQuarantine, 'applySnapshot' | 'applyRecords'>;
	/** Called with each configuration that comes into force. */
	readonly onConfiguration: (table: RouteTable) => void;
	/** Called after each complete list of the targets. */
	readonly onTargets: () => void;
}

/**
 * Follows the topics of the store, and applies their records: configuration and evacuations, target entries, and
 * quarantined prompt parts. It exchanges what is read with the other entry VMs of the cell.
 *
 * @example
 * const topics = StoreTopics.create(options);
 * topics.start();
 */
export class StoreTopics {
	static create(options: StoreTopicsOptions): StoreTopics {
		return new StoreTopics(options);
	}

	readonly #configFollower: TopicFollower;
	readonly #targetFollower: TopicFollower;
	readonly #quarantineFollower: TopicFollower;
	readonly #distributor: TopicDistributor;
	readonly #decodedTargets = new WeakMap<KeyedRecord, TargetEntry | undefined>();
	readonly #targetNews = TargetNews.create(record => this.#decodeTarget(record));
	#table: RouteTable | undefined;
	#hasTargets = false;
	#configuredMs: Ms | undefined;

	private constructor(private readonly options: StoreTopicsOptions) {
		const {clock, configLogger, targetLogger, placement, quarantine, registry, mesh} = options;
		this.#distributor = TopicDistributor.create(mesh);
		const hasFeeder = () => this.#distributor.hasFeeder;
		this.#configFollower = TopicFollower.create({
			name: 'configuration',
			topic: options.configTopic,
			clock,
			logger: configLogger,
			pollMs: 0,
			waitMs: configLongPollMs,
			hasFeeder,
			onSnapshot: ({records}, origin) => {
				// Before the first configuration, with which requests are accepted.
				placement.applySnapshot(records.flatMap(record => options.decodeEvacuation(record) ?? []), origin);
				this.#applyConfiguration(records);
			},
			onRecords: records => {
				placement.applyRecords(records.flatMap(record => options.decodeEvacuation(record) ?? []));
				this.#applyConfiguration(records);
			},
		});
		this.#targetFollower = TopicFollower.create({
			name: 'targets',
			topic: options.targetTopic,
			clock,
			logger: targetLogger,
			pollMs: targetPollIntervalMs,
			waitMs: 0,
			hasFeeder,
			onSnapshot: ({records}, origin) => {
				this.#targetNews.applySnapshot(records, origin);
				const entries = records.flatMap(record => this.#decodeTarget(record) ?? []);
				const heldIds = records.filter(record => record.value !== undefined && !this.#decodeTarget(record)).map(({key}) => key);
				if (origin === 'restored') {
					registry.merge(entries, heldIds);
				} else {
					registry.replace(entries, heldIds);
				}

				this.#hasTargets = true;
				options.onTargets();
			},
			onRecords: records => {
				this.#targetNews.apply(records);
				this.#updateTargets(records);
			},
			onRecovered(outageMs) {
				registry.storeRecovered(outageMs);
			},
		});
		this.#quarantineFollower = TopicFollower.create({
			name: 'quarantine',
			topic: options.quarantineTopic,
			clock,
			logger: targetLogger,
			pollMs: quarantinePollMs,
			waitMs: quarantineLongPollMs,
			hasFeeder,
			onSnapshot({records}, origin) {
				quarantine.applySnapshot(records, origin);
			},
			onRecords(records) {
				quarantine.applyRecords(records);
			},
		});
		this.#distributor.add({name: 'quarantine', follower: this.#quarantineFollower});
		this.#distributor.add({name: 'configuration', follower: this.#configFollower});
		this.#distributor.add({name: 'targets', follower: this.#targetFollower, isNews: record => this.#targetNews.isNews(record)});
		if (options.vmListFollower) {
			this.#distributor.add({name: 'entry VMs', follower: options.vmListFollower});
		}
	}

	/** Configuration in force; `undefined` before the first. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** Whether the targets have been read from the store. */
	get hasTargets(): boolean {
		return this.#hasTargets;
	}

	/** Time since the store last answered about targets. */
	get targetsAgeMs(): Ms {
		return this.#targetFollower.ageMs;
	}

	/** Whether the quarantined prompt parts have been read from the store, or the store has not provided them in time. */
	get isQuarantineKnown(): boolean {
		return this.#quarantineFollower.offset >= 0 || (this.#configuredMs !== undefined && this.options.clock.now() - this.#configuredMs >= quarantineTimeoutMs);
	}

	/** Returns what the configuration in force declares of a service. */
	service(name: string): ServiceDeclaration | undefined {
		return this.#table?.declarations.services.get(name);
	}

	start(): void {
		this.#configFollower.start();
		this.#targetFollower.start();
		this.#quarantineFollower.start();
	}

	stop(): void {
		this.#configFollower.stop();
		this.#targetFollower.stop();
		this.#quarantineFollower.stop();
	}

	/** Handles news from a peer. */
	receive(link: Link, message: TopicNewsMessage): void {
		this.#distributor.receive(link, message);
	}

	/** Handles the loss of a link. */
	linkLost(link: Link): void {
		this.#distributor.linkLost(link);
	}

	/** Applies the newest configuration among records. */
	#applyConfiguration(records: readonly KeyedRecord[]): void {
		const {configLogger, decodeDeclarations, clock, onConfiguration} = this.options;
		for (const record of records) {
			const declarations = decodeDeclarations(record);
			if (!declarations) {
				continue;
			}

			const current = this.#table?.version;
			const verdict = judgeDeclarations(this.#table?.declarations, declarations);
			if (verdict !== 'apply') {
				configLogger.info('Skipped a configuration version that is not newer than the current one.', {version: declarations.version, current, verdict});
				continue;
			}

			if (declarations.version === current) {
				configLogger.warn('A configuration version has another content than before; the one read last is applied.', {version: current});
			}

			this.#table = RouteTable.create(declarations);
			this.#configuredMs ??= clock.now();
			onConfiguration(this.#table);
			configLogger.info('Applied a version.', {
				version: declarations.version, before: current, routes: declarations.routes.length, teams: declarations.teams.length,
			});
		}
	}

	/** Decodes a record once, although it is read to pass it on, to compare later ones with it, and to apply it. */
	#decodeTarget(record: KeyedRecord): TargetEntry | undefined {
		if (!this.#decodedTargets.has(record)) {
			this.#decodedTargets.set(record, this.options.decodeTarget(record));
		}

		return this.#decodedTargets.get(record);
	}

	/** A malformed record is not its target's: what the target has written before holds until it writes again or its record is deleted. */
	#updateTargets(records: readonly KeyedRecord[]): void {
		const {registry} = this.options;
		for (const record of records) {
			const entry = this.#decodeTarget(record);
			if (entry) {
				registry.put(entry);
			} else if (record.value === undefined) {
				registry.remove(record.key);
			}
		}
	}
}
