import type {Ms} from '../clock/index.js';

/** Kinds of event on the time line. */
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

/** Kind of an event on the time line. */
export type EventKind = typeof eventKinds[number];

/** What a part reports; the ring adds process, sequence and time. */
export interface EventInput {
	readonly kind: EventKind;
	readonly requestId?: string | undefined;
	readonly team?: string | undefined;
	readonly stage?: string | undefined;
	readonly attempt?: number | undefined;
	readonly target?: string | undefined;
	readonly detail?: string | undefined;
}

/** One event of one process. `sequence` counts from 1 without gaps in each process. */
export interface TimelineEvent extends EventInput {
	readonly process: string;
	readonly sequence: number;
	/** Wall-clock ms since 1970 at the process. */
	readonly wallMs: Ms;
	/** Logical part of the hybrid clock; `wallMs` is then its physical part. */
	readonly logical: number;
}
