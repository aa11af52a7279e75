export {
	PromptQuarantine, type CrashedRequest, type PromptQuarantineOptions, type QuarantineMesh, type SuspicionMessage,
} from './prompt-quarantine.js';
