import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import type {StageResult} from '../pools/index.js';
import {RequestResults} from './request-results.js';
import {ResultRetention, type ResultUse} from './result-retention.js';

const stagePool = {
	slots: 1, queue: 2, batch: 8, callMs: 20, pieceMs: 2, resultMemoryMb: 15, resultTtlMs: 4000,
};
const services = new Map([['archive', {stagePool}], ['index', {stagePool}]]);
// The first stage is an input of the second one, so that only the results of the second and third one remain.
const stages = [
	{
		service: 'archive', after: [], resultBytes: 900_000, pieces: 5,
	},
	{
		service: 'archive', after: [0], resultBytes: 300_000, pieces: 2,
	},
	{
		service: 'index', after: [], resultBytes: 1000, pieces: 1,
	},
];

function resultOf(handle: string): StageResult {
	return {handle, zone: 'riga-a', bytes: 601_000};
}

// Guards against results that are never freed, freed twice, or retained where no stream needs them.
describe('RequestResults', () => {
	let clock: ManualClock;
	let retention: ResultRetention;
	let uses: ResultUse[];
	let freed: string[];

	beforeEach(() => {
		clock = ManualClock.create();
		uses = [];
		freed = [];
		// 2 MB of each service, 1 MB for each entry VM.
		retention = ResultRetention.create({
			clock, logger: silentLoggerFactory('requests'), targetCount: () => 4, entryVms: () => 6, onUse(use) {
				uses.push(use);
			},
		});
	});

	/** Returns the results of a request whose stages have just run. */
	function create(id: string, {isResumable = true} = {}): RequestResults {
		const results = RequestResults.create({
			clock, retention, id, service: 'engines', isResumable, stages, services, free(handles) {
				freed.push(...handles);
			},
		});
		results.beginRun();
		results.set([resultOf(id)]);
		return results;
	}

	/** Interrupts a stream, so that the results of the next ones may be retained. */
	function interrupt(): void {
		const results = create('first');
		results.startResponse({isStream: true, mayResume: true});
		results.endAttempt({isInterrupted: true});
		results.release();
		freed.pop();
		uses.pop();
	}

	const retained = () => [retention.retainedBytes('archive'), retention.retainedBytes('index')];

	it('frees results at the start of a response while no stream was interrupted', () => {
		for (const id of ['a', 'b']) {
			const results = create(id);
			results.startResponse({isStream: true, mayResume: true});
			results.endAttempt({isInterrupted: false});
			results.release();
		}

		expect([freed, uses, retained()]).toEqual([['a', 'b'], ['freed', 'freed'], [0, 0]]);
	});

	it('retains results until they are used for a resume, and frees them once after that', () => {
		interrupt();
		const results = create('a');
		results.startResponse({isStream: true, mayResume: true});
		expect([freed, retained()]).toEqual([[], [600_000, 1000]]);
		results.endAttempt({isInterrupted: true});
		expect([results.reuse(), retained()]).toEqual([['a'], [0, 0]]);
		results.startResponse({isStream: true, mayResume: false});
		results.endAttempt({isInterrupted: false});
		results.release();
		results.release();
		expect([freed, uses, retained()]).toEqual([['a'], ['retained', 'reused', 'freed'], [0, 0]]);
	});

	it('frees retained results at the end of the stream, and those of another run that takes their place', async () => {
		interrupt();
		const results = create('a');
		results.startResponse({isStream: true, mayResume: true});
		results.set([resultOf('b')]);
		expect([freed, retained()]).toEqual([['a'], [0, 0]]);
		results.startResponse({isStream: true, mayResume: true});
		results.release();
		await clock.advance(stagePool.resultTtlMs);
		expect([freed, uses, retained()]).toEqual([['a', 'b'], ['retained', 'retained'], [0, 0]]);
	});

	it('frees what exceeds the bound of a service', () => {
		interrupt();
		const [first, second] = [create('a'), create('b')];
		first.startResponse({isStream: true, mayResume: true});
		second.startResponse({isStream: true, mayResume: true});
		expect([freed, second.isEmpty, retained()]).toEqual([['b'], true, [600_000, 1000]]);
		first.release();
		create('c').startResponse({isStream: true, mayResume: true});
		expect([freed, retained()]).toEqual([['b', 'a'], [600_000, 1000]]);
	});

	it('frees retained results before they may expire at their targets, but not while they are used again', async () => {
		interrupt();
		const lost = create('a');
		lost.beginRun();
		await clock.advance(500);
		lost.set([resultOf('b')]);
		lost.startResponse({isStream: true, mayResume: true});
		await clock.advance(stagePool.resultTtlMs - 501);
		expect(freed).toEqual(['a']);
		await clock.advance(1);
		expect([freed, lost.reuse(), retained()]).toEqual([['a', 'b'], [], [0, 0]]);
		const used = create('c');
		used.startResponse({isStream: true, mayResume: true});
		used.reuse();
		await clock.advance(stagePool.resultTtlMs);
		expect(freed).toEqual(['a', 'b']);
	});

	it('frees the results of errors and of responses that no attempt may follow, and counts no interruption of what cannot be resumed', () => {
		for (const [isResumable, isStream] of [[false, true], [true, false]] as const) {
			const other = create('a', {isResumable});
			other.startResponse({isStream, mayResume: true});
			other.endAttempt({isInterrupted: true});
		}

		create('b').startResponse({isStream: true, mayResume: true});
		interrupt();
		create('c').startResponse({isStream: true, mayResume: false});
		create('d').startResponse({isStream: false, mayResume: true});
		expect([uses.filter(use => use !== 'freed'), freed, retained()]).toEqual([[], ['a', 'a', 'b', 'c', 'd'], [0, 0]]);
	});

	it('forgets interruptions after 10 s', async () => {
		interrupt();
		await clock.advance(9000);
		create('a').startResponse({isStream: true, mayResume: true});
		await clock.advance(1000);
		create('b').startResponse({isStream: true, mayResume: true});
		expect(uses).toEqual(['retained', 'freed']);
	});
});
