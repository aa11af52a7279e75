import fc from 'fast-check';
import {expect, test} from 'vitest';
import {ClaimTable} from './claim-table.js';

const marginMs = 500;
const keys = ['a', 'b'];
const step = fc.record({
	kind: fc.constantFrom('claim', 'claim', 'release', 'outcome', 'other'),
	key: fc.constantFrom(...keys),
	claim: fc.integer({min: 0, max: 5}),
	isForeign: fc.boolean(),
	// The log's clock may step back.
	deltaMs: fc.integer({min: -400, max: 1200}),
});
const logs = fc.array(step, {maxLength: 60}).map(steps => {
	let atMs = 10_000;
	return steps.map((entry, offset) => {
		atMs += entry.deltaMs;
		const owner = entry.isForeign ? entry.claim + 1 : entry.claim;
		return {
			offset,
			atMs,
			record: {
				kind: entry.kind, key: entry.key, claimId: `c${entry.claim}`, incarnation: `vm${owner % 3}`, notAfterMs: 14_000, bodyHash: 'body', outcome: 'done', answer: `by c${entry.claim}`,
			},
		};
	});
});
const run = {seed: 61, numRuns: 3000};

// Guards against two claims that hold the same key: a second win without a release by the holder, or a win after the
// key's expiry.
test('a key has one holder at a time, and none after its expiry', () => {
	fc.assert(fc.property(logs, log => {
		const table = ClaimTable.create({marginMs});
		const holders = new Map<string, {claimId: string; incarnation: string; isSettled: boolean}>();
		let latestMs = 0;
		for (const logRecord of log) {
			latestMs = Math.max(latestMs, logRecord.atMs);
			const {verdict} = table.apply(logRecord);
			const {key, claimId, incarnation} = logRecord.record;
			const holder = holders.get(key);
			const isFromHolder = holder?.claimId === claimId && holder.incarnation === incarnation;
			switch (verdict) {
				case 'won': {
					expect(holder).toBeUndefined();
					expect(latestMs).toBeLessThanOrEqual(logRecord.record.notAfterMs);
					holders.set(key, {claimId, incarnation, isSettled: false});

					break;
				}

				case 'released': {
					expect(isFromHolder && !holder.isSettled).toBe(true);
					holders.delete(key);

					break;
				}

				case 'settled': {
					expect(isFromHolder && !holder.isSettled).toBe(true);
					holder!.isSettled = true;

					break;
				}
			// No default
			}
		}
	}), run);
});

// Guards against processes that reach different entries because of page boundaries or records that are read twice.
test('pages and repeated reads do not change the entries', () => {
	fc.assert(fc.property(logs, fc.array(fc.integer({min: 0, max: 60}), {maxLength: 8}), (log, rereads) => {
		const whole = ClaimTable.create({marginMs});
		const paged = ClaimTable.create({marginMs});
		const verdicts = log.map(logRecord => whole.apply(logRecord).verdict);
		for (const [index, logRecord] of log.entries()) {
			expect(paged.apply(logRecord).verdict).toBe(verdicts[index]);
			for (const again of rereads.filter(offset => offset <= index)) {
				expect(paged.apply(log[again]!).verdict).toBe('ignored');
			}
		}

		expect(keys.map(key => paged.get(key))).toEqual(keys.map(key => whole.get(key)));
	}), run);
});

// Guards against memory use that grows with the length of the log instead of the number of unexpired keys.
test('entries and answers are removed after their keys expire, and answers beyond the limit earlier', () => {
	const table = ClaimTable.create({marginMs, maxAnswerBytes: 1000});
	const count = 20_000;
	let offset = 0;
	for (let index = 0; index < count; index++) {
		const atMs = index * 10;
		const own = {key: `k${index}`, claimId: `c${index}`, incarnation: 'vm'};
		table.apply({
			offset: offset++, atMs, record: {
				...own, kind: 'claim', notAfterMs: atMs + 1000, bodyHash: 'body',
			},
		});
		table.apply({
			offset: offset++, atMs, record: {
				...own, kind: 'outcome', outcome: 'done', answer: 'x'.repeat(100),
			},
		});
	}

	// One key per 10 ms is kept for its lifetime, the margin, one bucket width and one second of slack.
	expect(table.size).toBeLessThanOrEqual((1000 + marginMs + 2000) / 10);
	expect(table.answerBytes).toBeLessThanOrEqual(1000);
	expect(table.get(`k${count - 1}`)).toMatchObject({state: 'done', answer: 'x'.repeat(100)});
	expect(table.get(`k${count - 50}`)).toMatchObject({state: 'done'});
	expect(table.get(`k${count - 50}`)).not.toHaveProperty('answer');
});
