import type {DeclarationSet} from '../config/index.js';
import {expectedAnswer} from '../stand-ins/index.js';
import {segmentText} from './segment-text.js';
import type {TraceRequest} from './trace.js';

/** Returns the answer that simulated targets and target stand-ins give to a request, or `undefined` when its pipeline is not declared. @internal */
export function expectedText(request: TraceRequest, declarations: DeclarationSet): string | undefined {
	const pipeline = declarations.pipeline(request.pipeline);
	if (!pipeline) {
		return undefined;
	}

	const stages = pipeline.stages.map(stage => ({kind: stage.kind, maxTokens: Math.min(request.max_tokens, stage.max_tokens ?? request.max_tokens)}));
	return expectedAnswer(stages, request.segments.map(segment => segmentText(segment)));
}
