import {expect, test} from 'vitest';
import {DeclarationSet} from '../config/index.js';
import {createDeployment} from './deployment.js';
import {maxSavedPrefillTokens} from './max-saved-prefill-tokens.js';

const declarations = DeclarationSet.create(createDeployment('die-works').declarations);
const prompt = (id: string) => ({pool: 'order-desk', prompt: [{id, text: 'x'.repeat(400)}]});

// Guards against an upper bound that real caches can exceed: a prefix is saved once per pool, within the combined capacity of its caches.
test('a prefix is prefilled once per pool while the combined cache holds it', () => {
	expect(maxSavedPrefillTokens([prompt('a'), prompt('b'), prompt('a'), prompt('b')], declarations, 100)).toBe(200);
	expect(maxSavedPrefillTokens([prompt('a'), prompt('b'), prompt('c'), prompt('d'), prompt('a')], declarations, 100)).toBe(0);
	expect(maxSavedPrefillTokens([prompt('a'), {...prompt('a'), pool: 'engraving'}], declarations, 100)).toBe(0);
});
