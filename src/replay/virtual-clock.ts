import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {sleepOn} from '../clock/sleep.js';

type Timer = {at: Ms; order: number; fn: (() => void) | undefined};

/**
 * Virtual clock of a replay. Like `ManualClock`, it advances only in `advance`. Timers are in a binary heap, so that
 * replays with thousands of pending timers stay fast.
 *
 * @example
 * const clock = VirtualClock.create();
 * await clock.advance(60_000);
 */
export class VirtualClock implements Clock {
	static create({now = 0, wall = 1_700_000_000_000}: {now?: Ms; wall?: Ms} = {}): VirtualClock {
		return new VirtualClock(now, wall - now);
	}

	readonly #heap: Timer[] = [];
	#order = 0;

	private constructor(private time: Ms, private readonly wallOffset: Ms) {}

	now(): Ms {
		return this.time;
	}

	wall(): Ms {
		return this.time + this.wallOffset;
	}

	after(delay: Ms, fn: () => void): CancelTimer {
		const timer: Timer = {at: this.time + Math.max(0, delay), order: this.#order++, fn};
		this.#push(timer);
		return () => {
			// A cancelled timer stays in the heap without its function until it is due.
			timer.fn = undefined;
		};
	}

	async sleep(delay: Ms, signal?: AbortSignal): Promise<void> {
		await sleepOn(this, delay, signal);
	}

	/** Advances time by `delta` ms, running the due timers in order and letting promises settle between them. */
	async advance(delta: Ms): Promise<void> {
		const end = this.time + delta;
		await settlePromises();
		for (let next = this.#heap[0]; next && next.at <= end; next = this.#heap[0]) {
			this.#pop();
			if (next.fn) {
				this.time = next.at;
				next.fn();
				await settlePromises();
			}
		}

		this.time = end;
	}

	#push(timer: Timer): void {
		const heap = this.#heap;
		let index = heap.push(timer) - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1;
			if (!isBefore(timer, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = timer;
	}

	#pop(): void {
		const heap = this.#heap;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			let child = (index * 2) + 1;
			if (child >= heap.length) {
				break;
			}

			if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
				child++;
			}

			if (!isBefore(heap[child]!, last)) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = last;
	}
}

function isBefore(left: Timer, right: Timer): boolean {
	return left.at < right.at || (left.at === right.at && left.order < right.order);
}

async function settlePromises(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}
