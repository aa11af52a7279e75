import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {LogUnavailableError, type PlatformLog} from '../log/index.js';
import {checkChange} from './check-change.js';
import type {ConfigFollower} from './config-follower.js';
import type {ChangeVerdict} from './config-state.js';
import type {DeclarationFinding} from './declaration-finding.js';
import type {Declaration} from './declarations.js';
import type {ChangeRecord} from './fold.js';

/** Time for a change to be read back before its result is unknown. Longer than an append's and a read's time limit together. */
const settleMs: Ms = 6000;
/** Time to catch up with a base revision that this process has not read yet. */
const catchUpMs: Ms = 2000;

/** Ids held of changes without a known verdict. */
const maxUnsettled = 1024;

/** A change as an operator asks for it. */
export interface ChangeRequest {
	readonly changeId: string;
	readonly base: number;
	readonly author: string;
	readonly set: readonly Declaration[];
	readonly remove: readonly string[];
}

/** Result of a change; see `ApplyResponse` in operator.proto. */
export type ApplyResult =
	| {readonly type: 'accepted'; readonly revision: number}
	| {readonly type: 'conflict'; readonly currentRevision: number}
	| {readonly type: 'invalid'; readonly findings: readonly DeclarationFinding[]}
	| {readonly type: 'unavailable'; readonly message: string}
	| {readonly type: 'unknown'; readonly message: string};

/**
 * Appends changes and answers once their record was read back.
 *
 * @example
 * const writer = ConfigWriter.create({clock, log, follower});
 * const result = await writer.apply({changeId: 'c1', base: 7, author: 'liga', set: [team], remove: []});
 */
export class ConfigWriter {
	static create(parts: {clock: Clock; log: PlatformLog; follower: ConfigFollower}): ConfigWriter {
		return new ConfigWriter(parts);
	}

	readonly #running = new Map<string, Promise<ApplyResult>>();
	/** Ids of changes whose append got no answer and that may still land; oldest first. */
	readonly #unsettled = new Set<string>();

	private constructor(private readonly parts: {clock: Clock; log: PlatformLog; follower: ConfigFollower}) {}

	/** Applies a change. The same change id again answers the earlier verdict. */
	async apply(change: ChangeRequest): Promise<ApplyResult> {
		const running = this.#running.get(change.changeId) ?? this.#apply(change);
		this.#running.set(change.changeId, running);
		try {
			return await running;
		} finally {
			this.#running.delete(change.changeId);
		}
	}

	async #apply(change: ChangeRequest): Promise<ApplyResult> {
		const {clock, follower} = this.parts;
		if (change.base > follower.current().revision) {
			await this.#until(() => follower.current().revision >= change.base, clock.now() + catchUpMs);
		}

		const verdict = follower.verdict(change.changeId);
		if (verdict) {
			return this.#answer(verdict, change);
		}

		const {revision, declarations} = follower.current();
		if (change.base > revision && !follower.reachable) {
			return {type: 'unavailable', message: 'Cannot apply the change: the log does not answer, and the base revision is not known here'};
		}

		// Revisions only grow, so a change on another base can no longer win.
		if (change.base !== revision) {
			return {type: 'conflict', currentRevision: revision};
		}

		const errors = checkChange(declarations, change).filter(finding => finding.severity === 'error');
		return errors.length > 0 ? {type: 'invalid', findings: errors} : this.#append(change);
	}

	async #append(change: ChangeRequest): Promise<ApplyResult> {
		const {clock, follower, log} = this.parts;
		const record: ChangeRecord = {
			kind: 'change', id: change.changeId, base: change.base, author: change.author, set: [...change.set], remove: [...change.remove],
		};
		const end = clock.now() + settleMs;
		let offset = Number.POSITIVE_INFINITY;
		let lost = '';
		try {
			({offset} = await log.append('config', [record]));
		} catch (err) {
			if (err instanceof LogUnavailableError) {
				return this.#unsettled.has(change.changeId)
					? {type: 'unknown', message: `Cannot tell whether an earlier try of the change was applied: ${errorMessage(err)}`}
					: {type: 'unavailable', message: `Cannot apply the change: ${errorMessage(err)}`};
			}

			lost = `: ${errorMessage(err)}`;
			this.#noteUnsettled(change.changeId);
		}

		if (follower.state !== 'following') {
			follower.pollNow();
		}

		await this.#until(() => follower.verdict(change.changeId) !== undefined || follower.current().offset >= offset, end);
		const verdict = follower.verdict(change.changeId);
		return verdict
			? this.#answer(verdict, change)
			: {type: 'unknown', message: `Cannot tell whether the change was applied${lost || ': its record was not read back in time'}`};
	}

	#answer(verdict: ChangeVerdict, change: ChangeRequest): ApplyResult {
		const {declarations, revision} = this.parts.follower.current();
		switch (verdict.verdict) {
			case 'accepted': {
				return {type: 'accepted', revision: verdict.revision};
			}

			case 'conflict': {
				return {type: 'conflict', currentRevision: revision};
			}

			default: {
				const errors = checkChange(declarations, change).filter(finding => finding.severity === 'error');
				const rejected: DeclarationFinding = {
					severity: 'error', key: '', path: '', message: `was rejected as inconsistent on revision ${verdict.revision}`,
				};
				return {type: 'invalid', findings: errors.length > 0 ? errors : [rejected]};
			}
		}
	}

	#noteUnsettled(changeId: string): void {
		this.#unsettled.add(changeId);
		if (this.#unsettled.size > maxUnsettled) {
			this.#unsettled.delete(this.#unsettled.values().next().value!);
		}
	}

	async #until(check: () => boolean, end: Ms): Promise<void> {
		const {clock, follower} = this.parts;
		const ended = new AbortController();
		const cancel = clock.after(end - clock.now(), () => {
			ended.abort();
		});
		while (!check() && !ended.signal.aborted) {
			await follower.progress(ended.signal);
		}

		cancel();
	}
}
