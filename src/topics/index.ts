export type {
	KeyedPage, KeyedRecord, KeyedSnapshot, KeyedTopic,
} from './keyed-topic.js';
export {TopicFollower, type TopicFollowerOptions} from './topic-follower.js';
