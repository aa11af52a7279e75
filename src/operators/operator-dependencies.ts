import type {ClaimsFollower} from '../claims/index.js';
import type {Clock} from '../clock/index.js';
import type {ConfigFollower, ConfigWriter} from '../config/index.js';
import type {EventRing, PeerEvents} from '../events/index.js';
import type {PeerState} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import type {LeaseService} from '../orders/index.js';
import type {TargetRegistry, VmWatcher} from '../targets/index.js';

/** Returns the state of the peers for Status. */
export type PeerStatusSource = () => readonly PeerState[];

/** Identity and current state of this entry VM. */
export interface VmInfo {
	readonly name: string;
	readonly zone: string;
	readonly incarnation: string;
	readonly state: string;
	readonly inFlight: number;
}

/** Components of an entry VM that the operator service uses. */
export interface OperatorDependencies {
	readonly clock: Clock;
	readonly config: ConfigFollower;
	readonly writer: ConfigWriter;
	readonly claims: Pick<ClaimsFollower, 'state' | 'ageMs'>;
	readonly vmList: Pick<VmWatcher, 'reachable' | 'sinceMs' | 'ageMs' | 'extraIntervalMs' | 'lastSnapshot'>;
	readonly lease: Pick<LeaseService, 'state' | 'fencing'>;
	readonly events: EventRing;
	readonly targets: TargetRegistry;
	readonly logger: PartLogger;
	/** Collects events from other processes; by default there are none. */
	readonly peerEvents?: PeerEvents | undefined;
	/** Returns the state of the peers; by default there are none. */
	readonly peerStatus?: PeerStatusSource;
	readonly vm: () => VmInfo;
	readonly targetCounts: () => Readonly<Record<string, number>>;
	/** Starts the shutdown of this entry VM. */
	readonly shutdown: () => void;
}
