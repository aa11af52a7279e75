export {ConnectionTracker, isFollowed, mayBeFollowed} from './connection-tracker.js';
export {GrowingBuffer} from './growing-buffer.js';
export {closeServer, listen, type ListenAddress} from './listen.js';
export {listenWithRetry, type Listen, type ListenRetryOptions} from './listen-with-retry.js';
export {BodyError, readJsonBody} from './read-json-body.js';
export {sendJson} from './send-json.js';
