import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {nextRetryDelay} from './next-retry-delay.js';
import {retry, type FailedTry} from './retry.js';

const schedule = {timeoutMs: 1000, initialDelayMs: 100, maxDelayMs: 400};

describe('nextRetryDelay', () => {
	it('doubles up to the maximum, and ends with a try at the end of the time', () => {
		const delays: Array<number | undefined> = [];
		for (let [tries, elapsedMs] = [1, 0]; ; tries++) {
			const delayMs = nextRetryDelay({tries, elapsedMs}, schedule);
			delays.push(delayMs);
			if (delayMs === undefined) {
				break;
			}

			elapsedMs += delayMs;
		}

		expect(delays).toEqual([100, 200, 400, 300, undefined]);
	});

	it('has no end with a time without end', () => {
		expect(nextRetryDelay({tries: 2000, elapsedMs: 1e9}, {...schedule, timeoutMs: Infinity})).toBe(400);
	});
});

describe('retry', () => {
	function start(act: (tries: number) => boolean, signal?: AbortSignal, isTemporary?: () => boolean) {
		const clock = ManualClock.create();
		const failed: FailedTry[] = [];
		let tries = 0;
		const outcome = retry(async () => {
			if (!act(++tries)) {
				throw new Error(`try ${tries}`);
			}

			return clock.now();
		}, {
			clock, schedule, signal, ...(isTemporary ? {isTemporary} : {}), onRetry(each) {
				failed.push(each);
			},
		}).catch((err: unknown) => (err as Error).message);
		return {clock, failed, outcome};
	}

	it('returns the result of the first try that succeeds', async () => {
		const {clock, failed, outcome} = start(tries => tries === 3);
		await clock.advance(5000);
		expect(await outcome).toBe(300);
		expect(failed.map(({delayMs}) => delayMs)).toEqual([100, 200]);
	});

	it('throws the last error when the time is used up, and reports each try before', async () => {
		const {clock, failed, outcome} = start(() => false);
		await clock.advance(5000);
		expect(await outcome).toBe('try 5');
		expect(failed).toHaveLength(4);
	});

	it('makes no further try after a lasting error', async () => {
		const {failed, outcome} = start(() => false, undefined, () => false);
		expect(await outcome).toBe('try 1');
		expect(failed).toEqual([]);
	});

	it('ends at once when it is aborted', async () => {
		const controller = new AbortController();
		const {clock, outcome} = start(() => false, controller.signal);
		await clock.advance(150);
		controller.abort();
		expect(await outcome).toBe('try 2');
	});
});
