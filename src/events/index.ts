export {
	eventKinds, type EventInput, type EventKind, type TimelineEvent,
} from './event.js';
export {EventRing, type EventFilter, type EventRecorder} from './event-ring.js';
export {formatEvent, type PrintableEvent} from './format-event.js';
export {HybridClock, type HybridTime} from './hybrid-clock.js';
export {mergeEvents} from './merge-events.js';
export {noPeerEvents, type CollectedEvents, type PeerEvents} from './peer-events.js';
