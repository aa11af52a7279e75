import {createHash} from 'node:crypto';

/**
 * Returns the token that stand-in engines generate at `index` for a prompt. All engines generate the same text, so that
 * any of them can resume a stream.
 */
export function standInToken(promptHash: string, index: number): string {
	return `${promptHash.slice(0, 4)}${index} `;
}

/** Computes the prompt hash that `standInToken` takes. */
export function standInPromptHash(text: string): string {
	return createHash('sha256').update(text).digest('hex').slice(0, 12);
}

/** Returns the output of a stand-in service for an input. */
export function standInOutput(kind: string, input: string): string {
	return `${kind}:${createHash('sha256').update(input).digest('hex').slice(0, 12)}`;
}

/** Computes the answer of a pipeline on stand-in targets. Tests compare it with the answer that a caller received. */
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
