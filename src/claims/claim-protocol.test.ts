import {expect, test} from 'vitest';
import {exploreClaims} from '../../test/support/claim-model.js';

// Guards against an interleaving of the steps of up to three entry VMs in which the request of a key is sent twice.
test.each([
	['three entry VMs with one claim each', {claims: [0, 1, 2]}],
	['an entry VM with two claims and another, releases repeated', {claims: [0, 0, 1], withRepeatedReleases: true}],
])('no interleaving sends a key twice: %s', (_name, options) => {
	const result = exploreClaims(options);
	expect(result.counterexample).toBeUndefined();
	expect(result).toMatchObject({complete: true, maxSent: 1});
});

// Guards against a model that cannot detect a double run: without a safeguard of the protocol, it must find one.
test.each([
	['the read-back', {withoutReadBack: true}],
	['the order of the log', {withoutOrder: true}],
])('the model finds a double run without %s', (_name, fault) => {
	expect(exploreClaims({claims: [0, 1, 2], ...fault}).counterexample).toBeDefined();
});
