import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {requestId} from './request-id.js';
import type {Suspicion} from './suspicion.js';
import {SuspicionLedger, suspicionLifetimeMs} from './suspicion-ledger.js';

const crash = (name: string, parts: readonly string[], {sentMs, crashedMs, weight = 1}: {sentMs: number; crashedMs: number; weight?: number}): Suspicion => ({
	parts: parts.toSorted(), crashes: new Map([[name, weight]]), sentMs, crashedMs, quarantinedMs: undefined,
});

const request = (path: string) => requestId({
	method: 'GET', path, caller: 'engravers', body: Buffer.alloc(0),
});

/** Adds crashes at which requests with these parts only waited, one each 1000 ms. */
function addWaitingCrashes(ledger: SuspicionLedger, requests: ReadonlyArray<readonly string[]>, startMs = 0): void {
	for (const [index, parts] of requests.entries()) {
		const sentMs = startMs + (index * 1000);
		ledger.add(crash(`e-${sentMs}`, parts, {sentMs, crashedMs: sentMs + 500, weight: 0.5}), sentMs + 500);
	}
}

/** Adds crashes of requests with these parts, one each 1000 ms. */
function addCrashes(ledger: SuspicionLedger, requests: ReadonlyArray<readonly string[]>, startMs = 0): void {
	for (const [index, parts] of requests.entries()) {
		const sentMs = startMs + (index * 1000);
		ledger.add(crash(`e-${startMs}-${index}`, parts, {sentMs, crashedMs: sentMs + 500}), sentMs + 500);
	}
}

describe('SuspicionLedger', () => {
	it('quarantines what two crashes one after the other have in common', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead', 'a', 'b']]);
		expect(ledger.isQuarantined(['dead', 'a', 'b'])).toBe(false);
		addCrashes(ledger, [['dead', 'c', 'd']], 1000);
		expect([['dead'], ['a', 'b'], ['x', 'dead', 'y']].map(parts => ledger.isQuarantined(parts))).toEqual([true, false, true]);
	});

	// Guards against sound requests that are rejected for an hour: 401 in a run of the soak. Their part came along with a deadly
	// request and, at an engine that held both, with a deadly part.
	it('ends the quarantine of a part that was answered once, when its crashes are explained, and renews it at a crash that is not', () => {
		const ledger = SuspicionLedger.create();
		ledger.answered(['shared'], -10_000);
		addCrashes(ledger, [['shared', 'own', request('/deadly')], ['own', request('/deadly')]]);
		ledger.add(crash('e-x', ['shared', 'a', request('/a')], {sentMs: 2000, crashedMs: 2500}), 2500);
		ledger.add(crash('e-x', ['dead', 'b', request('/b')], {sentMs: 2400, crashedMs: 2500}), 2500);
		expect(ledger.isQuarantined(['shared'])).toBe(true);
		const {quarantined, explained} = ledger.add(crash('e-y', ['dead', 'c', request('/c')], {sentMs: 3000, crashedMs: 3500}), 3500);
		expect([quarantined.map(({parts}) => parts), explained.map(({parts}) => parts)]).toEqual([[['dead']], [['shared']]]);
		expect([['shared'], ['dead'], ['own', request('/deadly')]].map(parts => ledger.isQuarantined(parts))).toEqual([false, true, true]);
		addCrashes(ledger, [['shared', 'd', request('/d')]], 4000);
		expect(ledger.isQuarantined(['shared'])).toBe(true);
	});

	// Guards against a deadly part that is released since a sound one, or another deadly one, came along with it.
	it('ends no quarantine of a part that was never answered, until it is known that it was', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['deadly', 'b'], ['deadly', 'other'], ['other', 'c'], ['other', 'd']]);
		expect([ledger.isQuarantined(['deadly']), ledger.isQuarantined(['other'])]).toEqual([true, true]);
		expect(ledger.answered(['deadly'], -10_000).explained.map(({parts}) => parts)).toEqual([['deadly']]);
	});

	// Guards against a peer that keeps a set quarantined, since it lacks the answer without which its crashes are not explained.
	it('returns the answers that contradict the quarantine of a peer, and none for a set that is quarantined here', () => {
		const ledger = SuspicionLedger.create();
		ledger.answered(['shared', 'turned'], -10_000);
		addCrashes(ledger, [['dead', 'shared'], ['dead', 'shared', 'b'], ['dead']]);
		const quarantinedAtPeer = (parts: readonly string[], crashes: ReadonlyMap<string, number>) => ledger.add({...crash('', parts, {sentMs: 0, crashedMs: 1500}), crashes, quarantinedMs: 1500}, 4000).contradicting;
		expect([
			quarantinedAtPeer(['shared'], new Map([['e-0-0', 1], ['e-0-1', 1]])), quarantinedAtPeer(['turned'], new Map([['x-1', 1], ['x-2', 1]])), quarantinedAtPeer(['dead'], new Map([['e-0-0', 1], ['e-0-1', 1]])),
		]).toEqual([new Map([['shared', -10_000]]), new Map(), new Map()]);
	});

	// Guards against a deadly part whose later crashes are not known, so that sound parts beside it stay quarantined for them.
	it('records crashes beyond the eighth of a quarantined set, which explain those of others', () => {
		const ledger = SuspicionLedger.create();
		ledger.answered(['shared'], -10_000);
		addCrashes(ledger, Array.from({length: 8}, () => ['dead']));
		for (const index of [8, 9]) {
			for (const parts of [['dead', `a-${index}`], ['shared', `b-${index}`]]) {
				ledger.add(crash(`e-${index}`, parts, {sentMs: index * 1000, crashedMs: (index * 1000) + 500}), (index * 1000) + 500);
			}
		}

		const dead = ledger.all().find(({parts}) => parts.join(',') === 'dead');
		expect([[...dead!.crashes.keys()].slice(-2), dead!.crashes.size]).toEqual([['e-8', 'e-9'], 8]);
		expect([['dead'], ['shared']].map(parts => ledger.isQuarantined(parts))).toEqual([true, false]);
	});

	it('releases a set of 8 crashes once its later ones are explained by another part, and not while fewer are', () => {
		const ledger = SuspicionLedger.create();
		ledger.answered(['shared'], -10_000);
		addCrashes(ledger, Array.from({length: 8}, (_, index) => ['shared', `a-${index}`]));
		const releases = Array.from({length: 7}, (_, index) => [['dead', `b-${index}`], ['shared', `c-${index}`]].flatMap(parts => {
			const sentMs = 10_000 + (index * 1000);
			return ledger.add(crash(`later-${index}`, parts, {sentMs, crashedMs: sentMs + 500}), sentMs + 500).explained.map(explained => explained.parts.join(','));
		}));
		expect(releases).toEqual([[], [], [], [], [], [], ['shared']]);
		expect([['shared'], ['dead']].map(parts => ledger.isQuarantined(parts))).toEqual([false, true]);
	});

	it('keeps the latest eight crashes in whatever order their evidence arrives, and counts none again', () => {
		const ledger = SuspicionLedger.create();
		const add = (index: number) => ledger.add(crash(`e-${index}`, ['dead'], {sentMs: index * 1000, crashedMs: (index * 1000) + 500}), 20_000).added !== undefined;
		expect([1, 2, 3, 4, 5, 6, 7, 9, 10, 8].map(index => add(index))).toEqual(Array.from({length: 10}, () => true));
		expect([1, 2, 3, 10].map(index => add(index))).toEqual([false, false, false, false]);
		expect([...ledger.quarantined()[0]!.crashes.keys()].toSorted()).toEqual(['e-10', 'e-3', 'e-4', 'e-5', 'e-6', 'e-7', 'e-8', 'e-9']);
	});

	it('rejects only requests with all parts of a set while the deadly one among them is unknown', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead', 'a'], ['dead', 'a']]);
		expect([['dead', 'a', 'b'], ['dead', 'b'], ['a', 'b']].map(parts => ledger.isQuarantined(parts))).toEqual([true, false, false]);
	});

	it('clears a part when a request with it is answered, and keeps the others of its set quarantined', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead', 'a'], ['dead', 'a']]);
		expect([...ledger.answered(['a', 'x'], 2000).cleared.keys()]).toEqual(['a']);
		expect([['dead', 'b'], ['a', 'b']].map(parts => ledger.isQuarantined(parts))).toEqual([true, false]);
		ledger.answered(['dead'], 2100);
		expect(ledger.all()).toEqual([]);
	});

	// Guards against BUDGET of issue 34: requests that a wave of crashes cut off displaced a deadly one, whose crashes were then
	// never enough.
	it('keeps a request that several crashes have in common when many others come under suspicion', () => {
		const ledger = SuspicionLedger.create();
		addWaitingCrashes(ledger, [[request('/deadly')], [request('/deadly')]]);
		for (let number = 0; number < 1000; number++) {
			ledger.add(crash(`wave-${number}`, [request(`/sound/${number}`)], {sentMs: 3000, crashedMs: 3500, weight: 0.5}), 3500);
		}

		addWaitingCrashes(ledger, [[request('/deadly')]], 4000);
		expect(ledger.isQuarantined([request('/deadly')])).toBe(true);
	});

	// Guards against evidence that stays too long: requests with several crashes would leave no room for new ones.
	it('keeps the latest suspicions however many others several crashes have in common', () => {
		const ledger = SuspicionLedger.create();
		for (let number = 0; number < 1000; number++) {
			addWaitingCrashes(ledger, [[request(`/old/${number}`)], [request(`/old/${number}`)]], number * 10);
		}

		addWaitingCrashes(ledger, [[request('/deadly')], [request('/deadly')], [request('/deadly')]], 20_000);
		expect([ledger.isQuarantined([request('/deadly')]), ledger.size <= 600]).toEqual([true, true]);
	});

	it('does not suspect a part that was answered shortly before the crash, but one that was answered long before it', () => {
		const ledger = SuspicionLedger.create();
		ledger.answered(['shared', 'turned'], 0);
		ledger.answered(['shared'], 9000);
		addCrashes(ledger, [['shared', 'turned']], 9500);
		expect(ledger.all().map(({parts}) => parts)).toEqual([['turned']]);
	});

	it('does not count targets that are lost together as successive crashes', () => {
		const ledger = SuspicionLedger.create();
		for (const name of ['e-1', 'e-2', 'e-3']) {
			ledger.add(crash(name, ['a', `own-${name}`], {sentMs: 0, crashedMs: 500}), 500);
		}

		expect(ledger.isQuarantined(['a'])).toBe(false);
	});

	it('counts a crash once, however often and in whatever order its evidence arrives', () => {
		const ledger = SuspicionLedger.create();
		const evidence = crash('e-1', ['a', 'b'], {sentMs: 0, crashedMs: 500});
		expect([ledger.add(evidence, 500).added, ledger.add({...evidence, crashedMs: 900}, 900).added, ledger.quarantined()]).toEqual([evidence, undefined, []]);
	});

	// Guards against evidence that is lost since its crash is before, or between, those that arrived earlier.
	it.each([[[1, 2, 3]], [[1, 3, 2]], [[3, 1, 2]], [[3, 2, 1]], [[2, 1, 3]], [[2, 3, 1]]])('quarantines a request at the third of its crashes in the order %j', order => {
		const ledger = SuspicionLedger.create();
		expect(order.map(index => {
			ledger.add(crash(`e-${index}`, [request('/deadly')], {sentMs: index * 1000, crashedMs: (index * 1000) + 500, weight: 0.5}), 4000);
			return ledger.quarantined().length;
		})).toEqual([0, 0, 1]);
	});

	// Guards against crashes that count as one since the entry of a target is not updated while the store is unavailable.
	it('counts crashes of successive starts with the same name, each once', () => {
		const ledger = SuspicionLedger.create();
		const start = (sentMs: number) => crash('e-1 1000', [request('/deadly')], {sentMs, crashedMs: sentMs + 500, weight: 0.5});
		expect([start(0), start(200), start(3000), start(3100), start(600), start(6000)].map(evidence => {
			ledger.add(evidence, 7000);
			return ledger.quarantined().length;
		})).toEqual([0, 0, 0, 0, 0, 1]);
	});

	// Guards against one crash that counts twice. Connections are accepted until 1000 ms, and those of before `cutMs` are cut then.
	it('never counts the crash of one incarnation twice, whenever its requests were sent and its evidence arrived', () => {
		const time = fc.integer({min: 0, max: 1000});
		fc.assert(fc.property(time, fc.array(fc.tuple(time, time, time, fc.boolean()), {minLength: 2, maxLength: 6}), (cutMs, items) => {
			const ledger = SuspicionLedger.create();
			for (const [connectedMs, waitMs, judgedAfterMs, isOwn] of items) {
				const sentMs = Math.min(1000, connectedMs + waitMs);
				const crashedMs = Math.max(sentMs, connectedMs < cutMs ? cutMs : 1000);
				ledger.add({...crash('e-1', ['sound'], {sentMs, crashedMs}), aliveMs: isOwn ? connectedMs : undefined, goneMs: 1000 + judgedAfterMs}, 2000);
			}

			expect(ledger.all().map(({crashes}) => crashes.size)).toEqual([1]);
		}), {seed: 49, numRuns: 500});
	});

	it('needs more crashes at which requests only waited than crashes at the start of their responses', () => {
		const ledger = SuspicionLedger.create();
		for (let index = 0; index < 4; index++) {
			expect(ledger.isQuarantined(['a'])).toBe(false);
			ledger.add(crash(`e-${index}`, ['a'], {sentMs: index * 1000, crashedMs: (index * 1000) + 500, weight: 0.5}), (index * 1000) + 500);
		}

		expect(ledger.isQuarantined(['a'])).toBe(true);
	});

	it('finds two deadly parts', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead-1', 'a'], ['dead-2', 'a'], ['dead-1', 'b'], ['dead-2', 'c']]);
		ledger.answered(['a'], 4000);
		expect([['dead-1'], ['dead-2'], ['a', 'b', 'c']].map(parts => ledger.isQuarantined(parts))).toEqual([true, true, false]);
	});

	it('turns a quarantine into a suspicion in the end, which one more crash renews', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead'], ['dead']]);
		const laterMs = 2000 + suspicionLifetimeMs;
		ledger.expire(laterMs);
		expect(ledger.isQuarantined(['dead'])).toBe(false);
		ledger.add(crash('e-9', ['dead'], {sentMs: laterMs + 1, crashedMs: laterMs + 2}), laterMs + 2);
		expect(ledger.isQuarantined(['dead'])).toBe(true);
	});

	it('keeps quarantined parts when many unique ones come under suspicion, and a bounded number of these', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead'], ['dead']]);
		addCrashes(ledger, Array.from({length: 2000}, (_, index) => [`unique-${index}`]), 10_000);
		expect([ledger.isQuarantined(['dead']), ledger.all().length <= 200]).toEqual([true, true]);
	});

	it('never quarantines a set of parts that are answered between the crashes, in any order of crashes and answers', () => {
		const part = fc.constantFrom('a', 'b', 'c', 'd');
		fc.assert(fc.property(fc.array(fc.tuple(fc.uniqueArray(part, {minLength: 1}), fc.uniqueArray(part)), {maxLength: 12}), steps => {
			const ledger = SuspicionLedger.create();
			for (const [index, [crashed, answered]] of steps.entries()) {
				addCrashes(ledger, [crashed], index * 10_000);
				ledger.answered(answered, (index * 10_000) + 5000);
				for (const name of answered) {
					expect(ledger.isQuarantined([name])).toBe(false);
				}
			}
		}), {seed: 27, numRuns: 500});
	});

	it('quarantines a request without shared parts at its third crash, and no other request', () => {
		const ledger = SuspicionLedger.create();
		addWaitingCrashes(ledger, [[request('/dead')], [request('/dead')]]);
		expect(ledger.isQuarantined([request('/dead')])).toBe(false);
		addWaitingCrashes(ledger, [[request('/dead')]], 2000);
		expect([request('/dead'), request('/sound')].map(id => ledger.isQuarantined([id]))).toEqual([true, false]);
	});

	it('keeps a deadly request quarantined whose shared parts are answered for others', () => {
		const ledger = SuspicionLedger.create();
		const own = request('/dead');
		addCrashes(ledger, [['shared', own], ['shared', own]]);
		expect([['shared', own], ['shared', request('/other')]].map(parts => ledger.isQuarantined(parts))).toEqual([true, false]);
		ledger.answered(['shared', request('/other')], 2000);
		expect([['shared', own], ['shared', 'b', request('/other')]].map(parts => ledger.isQuarantined(parts))).toEqual([true, false]);
	});

	it('finds the deadly part of two requests that are not the same', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead', 'a', request('/1')], ['dead', 'b', request('/2')]]);
		expect([['dead', request('/3')], ['a', 'b', request('/1')]].map(parts => ledger.isQuarantined(parts))).toEqual([true, false]);
	});

	it('does not quarantine a request for two crashes beside which it waited, nor for more with an answer between them', () => {
		const ledger = SuspicionLedger.create();
		const own = request('/sound');
		for (const startMs of [0, 10_000, 20_000]) {
			addWaitingCrashes(ledger, [[own], [own]], startMs);
			expect(ledger.isQuarantined([own])).toBe(false);
			ledger.answered([own], startMs + 5000);
		}

		expect(ledger.size).toBe(0);
	});

	it('does not count crashes of targets that are lost together against a request', () => {
		const ledger = SuspicionLedger.create();
		for (const name of ['e-1', 'e-2', 'e-3', 'e-4']) {
			ledger.add(crash(name, [request('/sound')], {sentMs: 0, crashedMs: 500, weight: 0.5}), 500);
		}

		expect(ledger.isQuarantined([request('/sound')])).toBe(false);
	});

	it('no longer rejects requests with a part for what a request did that is answered', () => {
		const ledger = SuspicionLedger.create();
		const own = request('/sound');
		addWaitingCrashes(ledger, [['a', own], ['a', own], ['a', own]]);
		expect(ledger.isQuarantined(['a', own])).toBe(true);
		ledger.answered([own], 4000);
		expect([['a', own], ['a', request('/other')]].map(parts => ledger.isQuarantined(parts))).toEqual([false, false]);
	});

	it('renews the quarantine of a request at one more crash beside which it waited', () => {
		const ledger = SuspicionLedger.create();
		const own = request('/dead');
		addWaitingCrashes(ledger, [[own], [own], [own]]);
		const laterMs = 4000 + suspicionLifetimeMs;
		ledger.expire(laterMs);
		expect(ledger.isQuarantined([own])).toBe(false);
		addWaitingCrashes(ledger, [[own]], laterMs);
		expect(ledger.isQuarantined([own])).toBe(true);
	});

	// Guards against many different deadly requests that displace a deadly part, or one deadly request that is quarantined.
	it('keeps what is known of prompt parts, and quarantined requests, when many requests come under suspicion', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead'], ['dead'], ['suspected']]);
		addWaitingCrashes(ledger, [[request('/dead')], [request('/dead')], [request('/dead')]], 4000);
		addWaitingCrashes(ledger, Array.from({length: 2000}, (_, index) => ['a', request(`/${index}`)]), 10_000);
		expect([['dead'], [request('/dead')]].map(parts => ledger.isQuarantined(parts))).toEqual([true, true]);
		expect([ledger.all().some(({parts}) => parts.includes('suspected')), ledger.size <= 600]).toEqual([true, true]);
	});

	it('remembers the answers to prompt parts beside many answered requests', () => {
		const ledger = SuspicionLedger.create();
		ledger.answered(['shared'], 0);
		for (let index = 0; index < 10_000; index++) {
			ledger.answered([request(`/${index}`)], 100);
		}

		addCrashes(ledger, [['shared', request('/dead')]]);
		expect(ledger.all().map(({parts}) => parts)).toEqual([[request('/dead')]]);
	});

	it('quarantines a deadly request by its third crash, and no other, whatever else is in progress and answered', () => {
		const paths = ['/1', '/2', '/3', '/4'];
		const sound = fc.uniqueArray(fc.constantFrom(...paths));
		const shared = fc.uniqueArray(fc.constantFrom('a', 'b', 'c'));
		fc.assert(fc.property(shared, fc.array(fc.tuple(sound, sound, shared), {minLength: 3, maxLength: 6}), fc.constantFrom(0.5, 1), (deadlyParts, steps, weight) => {
			const ledger = SuspicionLedger.create();
			const deadly = [...deadlyParts, request('/dead')];
			for (const [index, [inProgress, answered, parts]] of steps.entries()) {
				const times = {sentMs: index * 10_000, crashedMs: (index * 10_000) + 500};
				for (const own of [deadly, ...inProgress.map(path => [...parts, request(path)])]) {
					ledger.add(crash(`e-${index}`, own, {...times, weight}), times.crashedMs);
				}

				for (const path of paths) {
					ledger.answered([...(answered.includes(path) ? parts : []), request(path)], times.crashedMs + 1000);
				}
			}

			ledger.answered(['a', 'b', 'c', ...paths.map(path => request(path))], steps.length * 10_000);
			expect(ledger.all().filter(({quarantinedMs}) => quarantinedMs !== undefined).map(({parts}) => parts)).toEqual([[request('/dead')]]);
		}), {seed: 34, numRuns: 500});
	});
});
