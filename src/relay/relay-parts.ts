import type {Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logs/index.js';
import type {ServiceRetryBudget, StageRunner} from '../pools/index.js';
import type {Random} from '../random/index.js';
import type {RelayTarget, TargetRegistry} from '../registry/index.js';
import type {ZoneDistance} from './choose-target.js';
import type {PromptMemory} from './prompt-memory.js';
import type {RelayCodec} from './relay-codec.js';
import type {RelayMetrics} from './relay-metrics.js';
import type {TargetPools} from './target-pools.js';

/** What requests need of the process that serves them. */
export interface RelayParts {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: PartLogger;
	readonly metrics: RelayMetrics;
	readonly codec: RelayCodec;
	readonly registry: TargetRegistry;
	readonly pools: TargetPools;
	readonly stages: StageRunner;
	readonly memory: PromptMemory;
	readonly zone: string;
	readonly distance: (zone: string) => ZoneDistance;
	/** Orders names for a key, the same at every entry VM. */
	readonly rank: (key: string, names: readonly string[]) => readonly string[];
	/** Budget of repeated calls to a service. */
	readonly repeats: (service: string) => ServiceRetryBudget;
	/** True when a target answers over a connection of its own. */
	readonly probe: (target: RelayTarget) => Promise<boolean>;
	/** Age of what is believed of targets: time since the store last answered about them. */
	readonly targetsAgeMs: () => Ms;
	/** True while connections of callers are being closed. */
	readonly isClosing: () => boolean;
}
