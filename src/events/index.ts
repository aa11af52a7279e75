export {
	eventKinds, type EventInput, type EventKind, type TimelineEvent,
} from './event.js';
export {EventRing, type EventFilter, type EventRecorder} from './event-ring.js';
