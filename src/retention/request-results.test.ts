import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {RequestResults} from './request-results.js';
import {ResultRetention, type ResultUse} from './result-retention.js';

const stagePool = {
	slots: 1, queue: 2, batch: 8, callMs: 20, pieceMs: 2, resultMemoryMb: 15, resultTtlMs: 4000,
};
const services = new Map([['archive', {stagePool}], ['index', {stagePool}]]);
const archive = {service: 'archive', resultBytes: 300_000, pieces: 2};
// The first stage is an input of the second one, so that only the results of the second and third one remain.
const stages = [{...archive, after: []}, {...archive, after: [0]}, {
	...archive, service: 'index', after: [], resultBytes: 500,
}];
const resultsOf = (handle: string) => [{handle, zone: 'riga-a', bytes: 601_000}];
const whole = {isStream: true, mayResume: true};

// Guards against results that are never freed, freed twice, or retained where no stream needs them.
describe('RequestResults', () => {
	let clock: ManualClock;
	let retention: ResultRetention;
	let uses: ResultUse[];
	let freed: string[];
	let evacuated: Set<string>;

	beforeEach(() => {
		clock = ManualClock.create();
		[uses, freed] = [[], []];
		evacuated = new Set();
		// 6 MB of each service, 1 MB for each entry VM.
		retention = ResultRetention.create({
			clock, logger: silentLoggerFactory('requests'), targetCount: () => 4, entryVms: () => 6, onUse(use) {
				uses.push(use);
			},
		});
	});

	/** Returns the results of a request whose stages have just run, after the start of its response. */
	function start(id: string, {isResumable = true, isStream = true, mayResume = true} = {}): RequestResults {
		const results = RequestResults.create({
			clock, retention, id, service: 'engines', isResumable, stages, services, isUsable: zone => !evacuated.has(zone), free(handles) {
				freed.push(...handles);
			},
		});
		results.beginRun();
		results.set(resultsOf(id));
		results.startResponse({isStream, mayResume});
		return results;
	}

	/** Interrupts a stream, so that the results of the next ones may be retained. */
	function interrupt(): void {
		start('first', {mayResume: false}).endAttempt({isInterrupted: true});
		freed.pop();
		uses.pop();
	}

	const retained = () => [retention.retainedBytes('archive'), retention.retainedBytes('index')];

	it('frees results at the start of a response while no stream was interrupted', () => {
		start('a').endAttempt({isInterrupted: false});
		start('b').release();
		expect([freed, uses, retained()]).toEqual([['a', 'b'], ['freed', 'freed'], [0, 0]]);
	});

	it('retains results until they are used for a resume, and frees them once after that', () => {
		interrupt();
		const results = start('a');
		expect([freed, retained()]).toEqual([[], [600_000, 1000]]);
		results.endAttempt({isInterrupted: true});
		expect([results.reuse(), retained()]).toEqual([['a'], [0, 0]]);
		results.startResponse({...whole, mayResume: false});
		results.release();
		results.release();
		expect([freed, uses, retained()]).toEqual([['a'], ['retained', 'reused', 'freed'], [0, 0]]);
	});

	it('frees retained results at the end of the stream, and those of another run that takes their place', async () => {
		interrupt();
		const results = start('a');
		results.set(resultsOf('b'));
		expect([freed, retained()]).toEqual([['a'], [0, 0]]);
		results.startResponse(whole);
		results.release();
		await clock.advance(stagePool.resultTtlMs);
		expect([freed, uses, retained()]).toEqual([['a', 'b'], ['retained', 'retained'], [0, 0]]);
	});

	it('frees what exceeds the bound of a service', () => {
		interrupt();
		const [first, second] = [start('a'), start('b')];
		expect([freed, second.isEmpty, retained()]).toEqual([['b'], true, [600_000, 1000]]);
		first.release();
		start('c');
		expect([freed, retained()]).toEqual([['b', 'a'], [600_000, 1000]]);
	});

	it('frees retained results before they may expire at their targets, but not while they are used again', async () => {
		interrupt();
		const lost = start('a');
		lost.beginRun();
		await clock.advance(500);
		lost.set(resultsOf('b'));
		lost.startResponse(whole);
		// 500 ms since the start of the run, and 500 ms that a resume may take.
		await clock.advance(stagePool.resultTtlMs - 1001);
		expect(freed).toEqual(['a']);
		await clock.advance(1);
		expect([freed, lost.reuse(), uses.at(-1), retained()]).toEqual([['a', 'b'], [], 'expired', [0, 0]]);
		start('c').reuse();
		await clock.advance(stagePool.resultTtlMs);
		expect([freed, uses.at(-1)]).toEqual([['a', 'b'], 'reused']);
	});

	it('frees the results of errors and of responses that no attempt may follow, and counts no interruption of what cannot be resumed', () => {
		start('a', {isResumable: false}).endAttempt({isInterrupted: true});
		start('b', {isStream: false}).endAttempt({isInterrupted: true});
		start('c');
		interrupt();
		start('d', {mayResume: false});
		start('e', {isStream: false});
		expect([uses.filter(use => use !== 'freed'), freed, retained()]).toEqual([[], ['a', 'b', 'c', 'd', 'e'], [0, 0]]);
	});

	// Guards against an attempt that is spent on handles of targets which must not be called.
	it('frees retained results after an attempt if their zone has been evacuated', () => {
		interrupt();
		const results = start('a');
		evacuated.add(resultsOf('a')[0]!.zone);
		results.endAttempt({isInterrupted: true});
		expect([results.isEmpty, freed, retained()]).toEqual([true, ['a'], [0, 0]]);
	});

	// Guards against results beyond the bound, which counts only those with a declared size.
	it('frees results of a service of which one stage declares no size', () => {
		interrupt();
		const results = RequestResults.create({
			clock, retention, id: 'a', service: 'engines', isResumable: true, stages: [...stages, {...stages.at(-1)!, resultBytes: 0, after: []}], services, isUsable: () => true, free(handles) {
				freed.push(...handles);
			},
		});
		results.set(resultsOf('a'));
		results.startResponse(whole);
		expect([results.isEmpty, freed]).toEqual([true, ['a']]);
	});

	it('forgets interruptions after 10 s', async () => {
		interrupt();
		await clock.advance(9000);
		start('a');
		await clock.advance(1000);
		start('b');
		expect(uses).toEqual(['retained', 'freed']);
	});
});
