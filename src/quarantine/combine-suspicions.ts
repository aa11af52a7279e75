import type {Ms} from '../clock/index.js';
import type {CrashSpan, Suspicion} from './suspicion.js';

/** Times of different entry VMs are compared with this tolerance, since messages take time to arrive. */
export const clockToleranceMs: Ms = 50;
/** Minimum time from a crash to a request that was sent to the next start of the target, where nothing else tells the two apart. A crash is detected by up to two probes of 500 ms each, during which requests may still be sent to the start that crashes. */
const restartMs: Ms = 1100;
/** Maximum number of crashes that a suspicion names, the latest ones. */
export const maxCrashes = 8;
/** Suffix that tells a start of a target from an earlier one with the same name. */
export const nextStartSuffix = '+';

/**
 * Returns the evidence against the common parts of two suspicions; `undefined` if they have none, share a crash, or have
 * crashes that are not one after the other. The order in which the evidence arrived makes no difference. Two starts of a
 * target have the same name until its new entry has been read; they are told apart by what this entry VM has seen of the
 * target between the crashes, else by the times of the requests.
 */
export function combineSuspicions(a: Suspicion, b: Suspicion): Suspicion | undefined {
	const parts = a.parts.filter(part => b.parts.includes(part));
	if (parts.length === 0 || [...b.crashes.keys()].some(crash => !isSuccessive(crash, b, a))) {
		return undefined;
	}

	const crashes = new Map(a.crashes);
	const spans = new Map<string, CrashSpan>();
	for (const crash of a.crashes.keys()) {
		spans.set(crash, spanOf(a, crash));
	}

	for (const [crash, weight] of b.crashes) {
		let name = crash;
		while (crashes.has(name)) {
			name += nextStartSuffix;
		}

		crashes.set(name, weight);
		spans.set(name, spanOf(b, crash));
	}

	// Evidence may arrive in any order.
	for (const crash of [...crashes.keys()].toSorted((x, y) => spans.get(x)!.crashedMs - spans.get(y)!.crashedMs).slice(0, -maxCrashes)) {
		crashes.delete(crash);
		spans.delete(crash);
	}

	return {
		parts,
		crashes,
		spans,
		sentMs: Math.min(a.sentMs, b.sentMs),
		crashedMs: Math.max(a.crashedMs, b.crashedMs),
		quarantinedMs: undefined,
	};
}

/** Returns what is known of the times of one crash of a suspicion; without own times of it, those of the whole suspicion. */
export function spanOf({spans, sentMs, crashedMs, aliveMs, goneMs}: Suspicion, crash: string): CrashSpan {
	return spans?.get(crash) ?? {
		sentMs, crashedMs, aliveMs, goneMs,
	};
}

/** Returns the name of a start of a target without what tells it from an earlier one with the same name. */
export function startName(crash: string): string {
	return crash.replace(/\++$/, '');
}

/** Whether a crash of one suspicion is before or after each crash of another, and is none of these. */
function isSuccessive(crash: string, suspicion: Suspicion, other: Suspicion): boolean {
	const crashSpan = spanOf(suspicion, crash);
	for (const otherCrash of other.crashes.keys()) {
		const span = spanOf(other, otherCrash);
		const gapMs = Math.max(crashSpan.sentMs - span.crashedMs, span.sentMs - crashSpan.crashedMs);
		const mayBeSame = startName(otherCrash) === startName(crash) && gapMs < restartMs && !isOtherIncarnation(crashSpan, span);
		if (gapMs < -clockToleranceMs || mayBeSame) {
			return false;
		}
	}

	return true;
}

/** Whether the target is known to have been running before one of the crashes, after the incarnation of the other one had ended. */
function isOtherIncarnation(a: CrashSpan, b: CrashSpan): boolean {
	return isRunningAfter(a, b) || isRunningAfter(b, a);
}

function isRunningAfter({aliveMs = -Infinity}: CrashSpan, {goneMs = Infinity}: CrashSpan): boolean {
	// Without a tolerance, as both times are those of this entry VM's clock.
	return aliveMs > goneMs;
}
