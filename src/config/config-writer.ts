import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {LogUnavailableError, type PlatformLog} from '../platform-log/index.js';
import {checkChange} from './check-change.js';
import type {ConfigFollower} from './config-follower.js';
import type {ChangeVerdict} from './config-state.js';
import type {DeclarationFinding} from './declaration-finding.js';
import type {Declaration} from './declarations.js';
import type {ChangeRecord} from './fold-config.js';

/** Time limit for reading back a change, after which its result is `unknown`; exceeds the timeouts of an append and a read together. */
const readBackTimeoutMs: Ms = 6000;
/** Maximum wait for a base revision that this process has not read yet. */
const catchUpTimeoutMs: Ms = 2000;

/** Maximum number of change ids without a known verdict in memory. */
const maxUnresolvedChanges = 1024;

/** A configuration change requested by an operator. */
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
 * Appends changes to the log, and returns their result after reading the records back.
 *
 * @example
 * const writer = ConfigWriter.create({clock, log, follower});
 * const pending = await writer.apply({changeId: 'c1', base: 7, author: 'liga', set: [team], remove: []});
 */
export class ConfigWriter {
	static create(options: {clock: Clock; log: PlatformLog; follower: ConfigFollower}): ConfigWriter {
		return new ConfigWriter(options);
	}

	readonly #pending = new Map<string, Promise<ApplyResult>>();
	/** Ids of changes whose append was not answered and may still take effect; oldest first. */
	readonly #unresolvedChanges = new Set<string>();

	private constructor(private readonly options: {clock: Clock; log: PlatformLog; follower: ConfigFollower}) {}

	/** Applies a change. A repeated change id returns the earlier verdict. */
	async apply(change: ChangeRequest): Promise<ApplyResult> {
		const pending = this.#pending.get(change.changeId) ?? this.#apply(change);
		this.#pending.set(change.changeId, pending);
		try {
			return await pending;
		} finally {
			this.#pending.delete(change.changeId);
		}
	}

	async #apply(change: ChangeRequest): Promise<ApplyResult> {
		const {clock, follower} = this.options;
		if (change.base > follower.current().revision) {
			await this.#waitUntil(() => follower.current().revision >= change.base, clock.now() + catchUpTimeoutMs);
		}

		const verdict = follower.verdict(change.changeId);
		if (verdict) {
			return this.#toResult(verdict, change);
		}

		const {revision, declarations} = follower.current();
		if (change.base > revision && !follower.isLogReachable) {
			return {type: 'unavailable', message: 'Cannot apply the change: the log does not answer, and this process has not read the base revision'};
		}

		// Revisions never decrease, so a change with another base can no longer be accepted.
		if (change.base !== revision) {
			return {type: 'conflict', currentRevision: revision};
		}

		const errors = checkChange(declarations, change).filter(finding => finding.severity === 'error');
		return errors.length > 0 ? {type: 'invalid', findings: errors} : this.#append(change);
	}

	async #append(change: ChangeRequest): Promise<ApplyResult> {
		const {clock, follower, log} = this.options;
		const record: ChangeRecord = {
			kind: 'change', id: change.changeId, base: change.base, author: change.author, set: [...change.set], remove: [...change.remove],
		};
		const deadline = clock.now() + readBackTimeoutMs;
		let offset = Number.POSITIVE_INFINITY;
		let appendError = '';
		try {
			({offset} = await log.append('config', [record]));
		} catch (err) {
			if (err instanceof LogUnavailableError) {
				return this.#unresolvedChanges.has(change.changeId)
					? {type: 'unknown', message: `Cannot tell whether an earlier attempt to apply the change succeeded: ${errorMessage(err)}`}
					: {type: 'unavailable', message: `Cannot apply the change: ${errorMessage(err)}`};
			}

			appendError = `: ${errorMessage(err)}`;
			this.#addUnresolved(change.changeId);
		}

		if (follower.state !== 'following') {
			follower.pollNow();
		}

		await this.#waitUntil(() => follower.verdict(change.changeId) !== undefined || follower.current().offset >= offset, deadline);
		const verdict = follower.verdict(change.changeId);
		return verdict
			? this.#toResult(verdict, change)
			: {type: 'unknown', message: `Cannot tell whether the change was applied${appendError || ': its record was not read back in time'}`};
	}

	#toResult(verdict: ChangeVerdict, change: ChangeRequest): ApplyResult {
		const {declarations, revision} = this.options.follower.current();
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

	#addUnresolved(changeId: string): void {
		this.#unresolvedChanges.add(changeId);
		if (this.#unresolvedChanges.size > maxUnresolvedChanges) {
			this.#unresolvedChanges.delete(this.#unresolvedChanges.values().next().value!);
		}
	}

	async #waitUntil(condition: () => boolean, deadline: Ms): Promise<void> {
		const {clock, follower} = this.options;
		const timeout = new AbortController();
		const cancel = clock.after(deadline - clock.now(), () => {
			timeout.abort();
		});
		while (!condition() && !timeout.signal.aborted) {
			await follower.waitForProgress(timeout.signal);
		}

		cancel();
	}
}
