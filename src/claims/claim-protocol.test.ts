import {expect, test} from 'vitest';
import {exploreClaims} from '../../test/support/claim-model.js';

// Guards against an order of steps of three entry VMs in which a key is sent twice.
test.each([
	['three entry VMs with one claim each', [0, 1, 2]],
	['an entry VM with two claims and another', [0, 0, 1]],
])('no interleaving sends a key twice: %s', (_name, claims) => {
	const result = exploreClaims({claims});
	expect(result.doubleRun).toBeUndefined();
	expect(result).toMatchObject({complete: true, maxSent: 1});
});

// Guards against a model that could not find a double run.
test.each([
	['the read-back', {withoutReadBack: true}],
	['the order of the log', {withoutOrder: true}],
])('the model finds a double run without %s', (_name, fault) => {
	expect(exploreClaims({claims: [0, 1, 2], ...fault}).doubleRun).toBeDefined();
});
