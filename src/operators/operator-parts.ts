import type {ClaimsFollower} from '../claims/index.js';
import type {Clock} from '../clock/index.js';
import type {ConfigFollower, ConfigWriter} from '../config/index.js';
import type {EventRing, PeerEvents} from '../events/index.js';
import type {PeerState} from '../links/index.js';
import type {PartLogger} from '../logs/index.js';
import type {LeaseService} from '../orders/index.js';
import type {TargetRegistry, VmWatcher} from '../targets/index.js';

/** Supplies the state of the peers for Status. */
export type PeerStatusSource = () => readonly PeerState[];

/** Facts about this entry VM. */
export interface VmFacts {
	readonly name: string;
	readonly zone: string;
	readonly incarnation: string;
	readonly state: string;
	readonly inFlight: number;
}

/** Parts of an entry VM that the operators' service uses. */
export interface OperatorParts {
	readonly clock: Clock;
	readonly config: ConfigFollower;
	readonly writer: ConfigWriter;
	readonly claims: Pick<ClaimsFollower, 'state' | 'ageMs'>;
	readonly vmList: Pick<VmWatcher, 'reachable' | 'sinceMs' | 'ageMs' | 'extraIntervalMs' | 'last'>;
	readonly lease: Pick<LeaseService, 'state' | 'fencing'>;
	readonly events: EventRing;
	readonly targets: TargetRegistry;
	readonly logger: PartLogger;
	/** Events of other processes; none unless given. */
	readonly peerEvents?: PeerEvents | undefined;
	/** State of the peers; none unless given. */
	readonly peerStatus?: PeerStatusSource;
	readonly vm: () => VmFacts;
	readonly targetCounts: () => Readonly<Record<string, number>>;
	/** Begins the shutdown of this entry VM. */
	readonly shutdown: () => void;
}
