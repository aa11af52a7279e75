import {expect, test} from 'vitest';
import {DeclarationSet} from '../config/index.js';
import {createDeployment} from './deployment.js';
import {prefillBound} from './max-saved-prefill-tokens.js';

const declarations = DeclarationSet.create(createDeployment('die-works').declarations);
const prompt = (id: string) => ({pool: 'order-desk', prompt: [{id, text: 'x'.repeat(400)}]});

// Guards against a bound that real caches can exceed: prefixes are saved once per pool, within the sum of its caches.
test('each prefix of a pool costs once while the caches together hold it', () => {
	expect(prefillBound([prompt('a'), prompt('b'), prompt('a'), prompt('b')], declarations, 100)).toBe(200);
	expect(prefillBound([prompt('a'), prompt('b'), prompt('c'), prompt('d'), prompt('a')], declarations, 100)).toBe(0);
	expect(prefillBound([prompt('a'), {...prompt('a'), pool: 'engraving'}], declarations, 100)).toBe(0);
});
