import {createHash} from 'node:crypto';

/** Text of the token at `index` that stand-in engines generate for a prompt; the same at every engine. */
export function standInToken(promptHash: string, index: number): string {
	return `${promptHash.slice(0, 4)}${index} `;
}

/** Hash of a prompt's text, as stand-in engines use it. */
export function standInPromptHash(text: string): string {
	return createHash('sha256').update(text).digest('hex').slice(0, 12);
}

/** Output of a stand-in service for an input. */
export function standInOutput(kind: string, input: string): string {
	return `${kind}:${createHash('sha256').update(input).digest('hex').slice(0, 12)}`;
}

/** Answer that stand-ins give to a pipeline; tests compare it with the answer that a caller received. */
export function expectedAnswer(stages: ReadonlyArray<{kind: string; maxTokens?: number}>, segments: readonly string[]): string {
	let output = '';
	for (const stage of stages) {
		if (stage.kind === 'generate') {
			const hash = standInPromptHash([...segments, ...output === '' ? [] : [output]].join('\n'));
			output = Array.from({length: stage.maxTokens ?? 64}, (_, index) => standInToken(hash, index)).join('');
		} else {
			output = standInOutput(stage.kind, output === '' ? segments.join('\n') : output);
		}
	}

	return output;
}
