import {Client, type Dispatcher} from 'undici';
import type {Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';
import type {RelayTarget} from '../registry/index.js';
import {isEndOfResponse, type TargetSign} from './judge-undeclared-end.js';
import type {TargetPools} from './target-pools.js';

/** Time that a target has to reply; its caller has all of the response already, but not its end. */
const replyTimeoutMs: Ms = 500;
/** Time after a connection was closed without a reply until another one is tried: the process may have been ending. */
const repeatAfterMs: Ms = 20;
/** Time until the other connections of a dead process have been seen to end, in two steps: ends that arrive while this process is suspended are read between them. */
const settleStepMs: Ms = 25;

/** Time until it is known whether a target refuses connections since this entry VM is cut off. */
const cutCheckMs: Ms = 1000;

/** What a target says when it is asked whether it runs. */
export type TargetReply = 'replied' | 'replaced' | 'refused' | 'closed';

/** Dependencies of {@link EndCheck}. */
export interface EndCheckOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly pools: Pick<TargetPools, 'get' | 'connect' | 'connectOptions' | 'openConnections'>;
	/** Returns the target that has an id now. */
	readonly current: (id: string) => RelayTarget | undefined;
	/** Asks a target over a dispatcher whether it runs, as the incarnation that is known; resolves when it has replied or cannot. */
	readonly ask: (target: RelayTarget, dispatcher: Dispatcher, signal: AbortSignal) => Promise<TargetReply>;
	/** Whether requests may be sent to a target. */
	readonly mayAsk: (target: RelayTarget) => boolean;
	/** Resolves with whether this entry VM is cut off from all targets, which others reach, after some time at most. */
	readonly confirmCutOff: (maxMs: Ms, signal: AbortSignal) => Promise<boolean>;
	/** Called with each verdict. */
	readonly onVerdict?: (isEnd: boolean) => void;
}

/**
 * Makes sure that a response without a declared end has ended when its connection has: the kernel ends the connections of
 * a dead process in order too. The target is asked over a connection from before, if one is idle.
 *
 * @example
 * const isWhole = await endCheck.isConfirmed(target, attemptId);
 */
export class EndCheck {
	static create(options: EndCheckOptions): EndCheck {
		return new EndCheck(options);
	}

	private constructor(private readonly options: EndCheckOptions) {}

	/**
	 * Resolves with whether a response to an attempt has ended, whose connection has just ended in order; never rejects.
	 * `wasRefusing` tells that the target refused connections before it sent the last data.
	 */
	async isConfirmed(target: RelayTarget, {attemptId, wasRefusing, signal}: {attemptId: string; wasRefusing: boolean; signal: AbortSignal}): Promise<boolean> {
		const {clock, logger, pools, confirmCutOff, onVerdict} = this.options;
		const startedMs = clock.now();
		const {address} = target.entry;
		let {sign, openConnections} = await this.#ask(target);
		if (sign === 'closed') {
			await clock.sleep(repeatAfterMs);
			({sign, openConnections} = await this.#ask(target));
		}

		if (sign === 'refused' || sign === 'closed') {
			await clock.sleep(settleStepMs);
			await clock.sleep(settleStepMs);
			openConnections = pools.openConnections(address);
		}

		// Another incarnation under its id shows that it has died.
		const isLeaving = target.isDraining || (target.isRemoved && this.options.current(target.id) === undefined);
		const isExplainedAlready = wasRefusing || isLeaving || openConnections > 0 || (sign !== 'refused' && sign !== 'closed');
		const isRefusalExplained = isExplainedAlready ? wasRefusing : await confirmCutOff(cutCheckMs, signal);
		const isEnd = isEndOfResponse({
			sign, isLeaving, isRefusalExplained, openConnections,
		});
		logger.info(isEnd ? 'Took the end of a connection for that of its response.' : 'Took the end of a connection for that of its target.', {
			id: attemptId, target: target.id, sign, leaving: isLeaving, refusal_explained: isRefusalExplained, open_connections: openConnections, took_ms: Math.round(clock.now() - startedMs),
		});
		onVerdict?.(isEnd);
		return isEnd;
	}

	async #ask(target: RelayTarget): Promise<{readonly sign: TargetSign; readonly openConnections: number}> {
		const {clock, pools, ask, mayAsk} = this.options;
		const {address} = target.entry;
		if (!mayAsk(target)) {
			return {sign: await pools.connect(address) ? 'accepted' : 'refused', openConnections: 0};
		}

		const ended = new AbortController();
		const waitForReply = async (): Promise<TargetSign> => {
			await clock.sleep(replyTimeoutMs, ended.signal);
			return 'silent';
		};

		// The pool of a target that is removed has been closed.
		const ownClient = target.isRemoved ? new Client(`http://${address}`, pools.connectOptions(address)) : undefined;
		try {
			const sign = await Promise.race([ask(target, ownClient ?? pools.get(address), ended.signal), waitForReply()]);
			// Counted before the connection on which the target was asked is closed.
			return {sign, openConnections: pools.openConnections(address)};
		} finally {
			ended.abort();
			void ownClient?.destroy();
		}
	}
}
