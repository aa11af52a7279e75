import {expect, it} from 'vitest';
import {decodeLinkMessage, encodeLinkMessage} from '../links/link-message.js';
import {linkLimits, type LinkMessage} from '../links/index.js';
import {Random} from '../random/index.js';
import {ExchangeNews} from './exchange-news.js';
import type {LengthRow} from './prompt-mix.js';

// Guards against a peer that is told its own news again, which would count twice.
it('tells a peer the news of all others', () => {
	const random = Random.create(3);
	const sources = [undefined, {}, {}, {}];
	const news = ExchangeNews.create();
	for (let index = 0; index < 60; index++) {
		const source = sources[random.integer(0, 2)];
		news.addSpeed(random.integer(1, 9), {ratio: 0.5 + random.float(), weight: 0.1 + random.float()}, source);
		news.addLengths(`s-${random.integer(1, 2)}`, [[random.integer(0, 20), 1, random.integer(64, 9000)]], source);
	}

	const sorted = ({speeds, lengths}: ReturnType<ExchangeNews['select']>) => ({
		speeds: speeds.toSorted(([a], [b]) => a - b),
		lengths: lengths.map(([service, rows]) => [service, rows.toSorted(([a], [b]) => a - b)] as const).toSorted(([a], [b]) => a.localeCompare(b)),
	});
	for (const source of sources.slice(1)) {
		expect(sorted(news.except(source!))).toEqual(sorted(news.select(other => other !== source)));
	}

	news.clear();
	expect(news.except(sources[1]!)).toEqual({speeds: [], lengths: []});
});

// Guards against a leader whose messages all its peers refuse, which closes their links, after one of them has sent odd classes of length.
it('passes on no more classes of length than a message may have', () => {
	const news = ExchangeNews.create();
	for (let index = 0; index < 3 * linkLimits.lengthClasses; index += 50) {
		news.addLengths('llm', Array.from({length: 50}, (_, offset): LengthRow => [index + offset, 1, 100]), {});
	}

	const message: LinkMessage & {type: 'prompt-work'} = {
		type: 'prompt-work', isFull: false, rows: [], ...news.select(() => true),
	};
	expect(() => decodeLinkMessage(encodeLinkMessage(message))).not.toThrow();
	expect(message.lengths).toEqual([['llm', Array.from({length: linkLimits.lengthClasses}, (_, index) => [index, 1, 100])]]);
});
