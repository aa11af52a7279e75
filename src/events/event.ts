import type {Ms} from '../clock/index.js';

/** Kinds of events on the timeline. */
export const eventKinds = [
	'request_received',
	'request_admitted',
	'request_rejected',
	'request_answered',
	'caller_left',
	'attempt_queued',
	'attempt_sent',
	'attempt_settled',
	'attempt_resumed',
	'attempt_cancelled',
	'claim_appended',
	'claim_won',
	'claim_lost',
	'claim_released',
	'claim_settled',
	'config_applied',
	'config_rejected',
	'config_gap',
	'config_snapshot',
	'target_state',
	'target_draining',
	'link_state',
	'member_state',
	'lease_won',
	'lease_lost',
	'order_sent',
	'order_settled',
	'shutdown',
] as const;

/** Kind of an event on the timeline. */
export type EventKind = typeof eventKinds[number];

/** An event as a component records it; `EventRing` adds process, sequence and time. */
export interface EventInput {
	readonly kind: EventKind;
	readonly requestId?: string | undefined;
	readonly team?: string | undefined;
	readonly stage?: string | undefined;
	readonly attempt?: number | undefined;
	readonly target?: string | undefined;
	readonly detail?: string | undefined;
}

/** An event of one process. Each process numbers its events in `sequence`, from 1 without gaps. */
export interface TimelineEvent extends EventInput {
	readonly process: string;
	readonly sequence: number;
	/** Wall-clock time of the process, in ms since 1970. */
	readonly wallMs: Ms;
	/** Logical component of the hybrid time, of which `wallMs` is the physical component; 0 without a hybrid clock. */
	readonly logical: number;
}
