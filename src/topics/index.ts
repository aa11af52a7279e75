export {EraTracker} from './era-tracker.js';
export type {
	KeyedPage, KeyedRecord, KeyedSnapshot, KeyedTopic, KeyedWriter,
} from './keyed-topic.js';
export {
	TopicFollower, type SnapshotOrigin, type TopicFollowerOptions, type TopicNews,
} from './topic-follower.js';
