import type {Prompt} from './relay-codec.js';

/**
 * Returns the ids of the parts of a prompt that other requests may share, in prompt order.
 *
 * @example
 * sharedPartIds({inputTokens: 30, maxOutputTokens: 1, parts: [{id: 'a', tokens: 10}, {id: 'own', tokens: 20}]}); // ['a']
 */
export function sharedPartIds(prompt: Prompt): readonly string[] {
	return prompt.parts.slice(0, -1).map(part => part.id);
}
