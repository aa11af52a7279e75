export {
	eventKinds, type EventInput, type EventKind, type TimelineEvent,
} from './event.js';
export {EventRing, type EventFilter, type EventRecorder} from './event-ring.js';
export {formatTimeline, type PrintableEvent} from './format-timeline.js';
export {HybridClock, type HybridTime} from './hybrid-clock.js';
export {mergeEvents} from './merge-events.js';
export {noPeerEvents, type CollectedEvents, type PeerEvents} from './peer-events.js';
