export {
	PromptQuarantine, type CrashedRequest, type PromptQuarantineOptions, type QuarantineCause, type QuarantineMesh, type SuspicionMessage,
} from './prompt-quarantine.js';
export {requestId, type IdentifiedRequest} from './request-id.js';
