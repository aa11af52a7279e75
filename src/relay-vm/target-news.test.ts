import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import type {TargetEntry} from '../registry/index.js';
import type {KeyedRecord} from '../topics/index.js';
import {TargetNews} from './target-news.js';

const record = (key: string, state: string | undefined): KeyedRecord => ({key, value: state === undefined ? undefined : Buffer.from(state)});

/** Decodes the values `ready`, `draining` and `cold`; others are malformed. */
function decode({key, value}: KeyedRecord): TargetEntry | undefined {
	const state = value?.toString();
	return state === 'ready' || state === 'draining' || state === 'cold'
		? {
			id: key, service: 'desk', address: '10.0.0.1:80', zone: 'riga-a', slots: 1, isDraining: state === 'draining', startedMs: 1, coldMs: state === 'cold' ? 500 : 0,
		}
		: undefined;
}

/** Returns which of successive records are news. */
function newsOf(news: TargetNews, records: readonly KeyedRecord[]): boolean[] {
	return records.map(each => {
		const isNews = news.isNews(each);
		news.apply([each]);
		return isNews;
	});
}

describe('TargetNews', () => {
	it('leaves out records that change nothing', () => {
		const news = TargetNews.create(decode);
		news.applySnapshot([record('a', 'ready')], 'continued');
		expect(newsOf(news, [
			record('a', 'ready'), record('a', 'garbled'), record('a', 'draining'), record('a', 'draining'), record('a', undefined), record('a', undefined), record('b', undefined), record('b', 'ready'),
		])).toEqual([false, true, true, false, true, false, false, true]);
	});

	// Guards against members of a cell that never hear from their leader that a target has become cold again.
	it('takes each entry of a cold target for news', () => {
		const news = TargetNews.create(decode);
		news.applySnapshot([record('a', 'ready')], 'continued');
		expect(newsOf(news, [record('a', 'cold'), record('a', 'cold'), record('a', 'ready'), record('a', 'ready')])).toEqual([true, true, false, false]);
	});

	// Guards against an entry VM that never hears of a target: it read its first snapshot while the record of the target was
	// malformed, and the entry that the target writes next is the one that its leader has known before.
	it('takes the first entry behind a malformed record for news', () => {
		const news = TargetNews.create(decode);
		news.applySnapshot([record('a', 'ready'), record('b', 'garbled')], 'continued');
		expect(newsOf(news, [
			record('a', 'garbled'), record('a', 'garbled'), record('a', 'ready'), record('a', 'ready'), record('b', 'garbled'), record('b', 'ready'), record('b', 'ready'),
		])).toEqual([true, false, true, false, false, true, false]);
	});

	// Guards against a target that the others use for ever: its record was malformed in a snapshot, so that its end was no news.
	it('takes the end of a target for news whose record was malformed in a snapshot', () => {
		const news = TargetNews.create(decode);
		news.applySnapshot([record('a', 'ready')], 'continued');
		news.applySnapshot([record('a', 'garbled')], 'continued');
		expect(newsOf(news, [record('a', undefined), record('a', undefined)])).toEqual([true, false]);
	});

	// Guards against an entry VM that never hears of a target: its leader has known it since before the restore, the copy
	// does not have it, and the entry that the target writes again changes nothing at the leader.
	it('takes the first record of each target after a restore for news', () => {
		const news = TargetNews.create(decode);
		news.applySnapshot([], 'continued');
		news.apply([record('a', 'ready')]);
		news.applySnapshot([record('b', 'ready')], 'restored');
		expect(newsOf(news, [
			record('a', 'ready'), record('a', 'ready'), record('b', 'ready'), record('b', 'ready'), record('c', undefined), record('c', undefined),
		])).toEqual([true, false, true, false, true, false]);
	});
});
