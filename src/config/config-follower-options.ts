import type {Clock, Ms} from '../clock/index.js';
import type {EventRecorder} from '../events/index.js';
import type {PartLogger} from '../logging/index.js';
import type {PlatformLog} from '../platform-log/index.js';
import type {Random} from '../random/index.js';
import type {ConfigPeers} from './config-peers.js';

/** Options of a configuration follower. */
export interface ConfigFollowerOptions {
	readonly clock: Clock;
	readonly log: PlatformLog;
	readonly events: EventRecorder;
	readonly logger: PartLogger;
	readonly random: Random;
	/** Interval between snapshots; a third of the log's retention. */
	readonly snapshotMs: Ms;
	readonly peers?: ConfigPeers | undefined;
}
