import type {PromptTicket} from '../prompts/index.js';
import type {RelayTarget} from '../registry/index.js';
import type {EngineChoice} from './choose-engine.js';
import type {Prompt} from './relay-codec.js';
import type {RelayContext} from './relay-context.js';
import type {ChoiceFields} from './request-record.js';

/** A request that is sent to a target; `prompt` is absent if it has none, `choice` if the target was the only one with a place. */
export interface ChosenPrompt {
	readonly target: RelayTarget;
	readonly prompt: Prompt | undefined;
	readonly choice: EngineChoice | undefined;
	readonly isStream: boolean;
}

/** Receives the progress of a prompt that was sent. */
export interface ChosenPromptTicket extends PromptTicket {
	/** Records the start of the response. */
	recordResponseStart(): void;
	/** Log fields that tell why the engine was chosen; `undefined` if the target is no model engine. */
	readonly logFields: ChoiceFields | undefined;
}

const noPrompt: ChosenPromptTicket = {
	recordResponseStart: () => undefined, recordFirstEvent: () => undefined, end: () => undefined, logFields: undefined,
};

/**
 * Records that a prompt is sent to a target, and returns the ticket for its progress; the prompt is pending until the
 * response starts, and at a model engine its prefill until the first event.
 *
 * @example
 * const ticket = startPrompt(context, {target, prompt, choice, isStream: true});
 */
export function startPrompt({prompts}: Pick<RelayContext, 'prompts'>, {target, prompt, choice, isStream}: ChosenPrompt): ChosenPromptTicket {
	if (!prompt) {
		return noPrompt;
	}

	const {inputTokens, maxOutputTokens} = prompt;
	const uncachedTokens = choice?.uncachedTokens ?? inputTokens;
	const ticket = prompts.start(target, {
		inputTokens, maxOutputTokens, uncachedTokens, isStream, roundTripMs: choice?.roundTripMs ?? 0, side: choice?.side,
	});
	target.pendingTokens += inputTokens;
	let isPending = true;
	const removePendingTokens = () => {
		target.pendingTokens -= isPending ? inputTokens : 0;
		isPending = false;
	};

	return {
		recordResponseStart() {
			removePendingTokens();
			// The response to a request that is no stream starts once all of it is there.
			if (!isStream) {
				ticket?.recordFirstEvent();
			}
		},
		recordFirstEvent() {
			ticket?.recordFirstEvent();
		},
		end() {
			removePendingTokens();
			ticket?.end();
		},
		logFields: ticket && {uncached_tokens: Math.round(uncachedTokens), ...describe(choice)},
	};
}

function describe(choice: EngineChoice | undefined): ChoiceFields {
	if (!choice) {
		return {};
	}

	const {firstTokenMs, isHome, side, outlook} = choice;
	return {
		first_token_ms: Math.round(firstTokenMs),
		...(isHome ? {is_home: true} : {}),
		...(side && {kind: side.kind, ...(side.isSpilled ? {is_spilled: true} : {})}),
		...(outlook && {
			ahead_tokens: Math.round(outlook.aheadTokens),
			slowness: Math.round(outlook.slowness * 100) / 100,
			reports_age_ms: Math.round(outlook.reportAgeMs),
			...(outlook.speedAgeMs === undefined ? {} : {speed_age_ms: Math.round(outlook.speedAgeMs)}),
		}),
	};
}
