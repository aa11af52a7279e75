export {
	eventKinds, type EventInput, type EventKind, type TimelineEvent,
} from './event.js';
export {EventRing, type EventFilter, type EventRecorder} from './event-ring.js';
export {localOnlyEvents, type PeerEvents, type PeerEventsReply} from './peer-events.js';
