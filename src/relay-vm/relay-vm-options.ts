import type {Clock, Ms} from '../clock/index.js';
import type {ListenAddress} from '../http/index.js';
import type {ColdBound, TargetHealth} from '../limits/index.js';
import type {LinkIdentity, LinkKeyStore} from '../links/index.js';
import type {LoggerFactory} from '../logging/index.js';
import type {EvacuationRecord} from '../placement/index.js';
import type {RetryLimits, StageTargetPort} from '../pools/index.js';
import type {RelayTarget, TargetEntry} from '../registry/index.js';
import type {EndCheckOptions, RelayCodec} from '../relay/index.js';
import type {RelayDeclarations} from '../routes/index.js';
import type {
	EraTracker, KeyedRecord, KeyedTopic, KeyedWriter, TopicFollower,
} from '../topics/index.js';
import type {VmList} from '../vms/index.js';

/** Limits that may change while the process runs. */
export interface RelayLimits {
	readonly retryLimits: RetryLimits;
	/** Time between SIGTERM and forced termination. */
	readonly graceMs: Ms;
}

/** Options of `RelayVm`. */
export interface RelayVmOptions {
	readonly self: LinkIdentity;
	/** Address to which other entry VMs connect. */
	readonly links: ListenAddress;
	readonly vmList: VmList;
	/** Follower of the topic of the list, if it has one, to exchange news with peers. */
	readonly vmListFollower?: TopicFollower;
	readonly linkKeyStore: LinkKeyStore;
	readonly regionOf: (zone: string) => string | undefined;
	/** Address to which callers connect. */
	readonly callers: ListenAddress;
	/** Address of the readiness endpoint for the load balancer. */
	readonly control: ListenAddress;
	/** Address of the metrics endpoint. */
	readonly metrics: ListenAddress;
	readonly clock: Clock;
	readonly createLogger: LoggerFactory;
	/** Starts to write the lines that have been logged, without waiting for more. */
	readonly flushLog?: (() => void) | undefined;
	readonly seed: number;
	readonly codec: RelayCodec;
	readonly stageTargets: StageTargetPort;
	/** Resolves with what the health path of a target says, or without a path another one at which every target responds; never rejects. */
	readonly checkHealth: (target: RelayTarget, path: string | undefined) => Promise<TargetHealth>;
	/** Asks a target over a dispatcher whether it runs, as the incarnation that is known; never rejects. */
	readonly askWhetherRunning: EndCheckOptions['ask'];
	readonly configTopic: KeyedTopic;
	readonly targetTopic: KeyedTopic;
	/** Topic of the quarantined prompt parts. */
	readonly quarantineTopic: KeyedTopic;
	readonly quarantineWriter: KeyedWriter;
	/** Decodes the configuration; returns `undefined` for a record without one. */
	readonly decodeDeclarations: (record: KeyedRecord) => RelayDeclarations | undefined;
	/** Decodes the evacuation of a zone; returns `undefined` for a record without one. */
	readonly decodeEvacuation: (record: KeyedRecord) => EvacuationRecord | undefined;
	/** Decodes a target entry; returns `undefined` for a record without one. */
	readonly decodeTarget: (record: KeyedRecord) => TargetEntry | undefined;
	/** Eras of the history of the store's log. */
	readonly storeEras: Pick<EraTracker, 'current' | 'onChange'>;
	/** Memory that the operator gives the process, in bytes; `undefined` if that is not known. */
	readonly memoryBytes?: number | undefined;
	/** Time after its acknowledgement from which an evacuation must hold; `undefined` if the settings name none. */
	readonly evacuateMs?: Ms | undefined;
	readonly limits: RelayLimits;
	/** Bound on the requests to a cold target from all entry VMs together; `undefined` for the rate that its service tolerates. */
	readonly coldBound?: ColdBound | undefined;
	/**
	 * Whether no earlier process of this entry VM has run; by default one may have, and have used the share of the retry slack
	 * until it ended.
	 */
	readonly isFirstStart?: boolean | undefined;
	/** Ends the tries to bind addresses at once; `create` then throws. */
	readonly signal?: AbortSignal | undefined;
}
