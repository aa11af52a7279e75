import {randomUUID} from 'node:crypto';
import {parseMintedKey} from '../claims/index.js';
import type {Clock, Ms} from '../clock/index.js';
import {
	callerRequestSchema, type RequestOptions, type RequestResult, type RequestRunner,
} from '../requests/index.js';
import type {KeyForwarder} from './key-forwarder.js';

/** Parts of a router of minted keys. */
export interface MintedKeyRouterOptions {
	readonly clock: Clock;
	readonly incarnation: string;
	readonly runner: Pick<RequestRunner, 'run'>;
	/** `undefined` without links: keys minted elsewhere are then answered by the runner. */
	readonly forwarder: () => KeyForwarder | undefined;
	/** Deadline of a pipeline in ms; `undefined` when it is not declared. */
	readonly pipelineDeadlineMs: (pipeline: string) => Ms | undefined;
}

/**
 * Runs requests here, except those whose key another incarnation minted: these are forwarded to it.
 *
 * @example
 * const router = MintedKeyRouter.create({clock, incarnation, runner, forwarder: () => mesh, pipelineDeadlineMs});
 */
export class MintedKeyRouter {
	static create(options: MintedKeyRouterOptions): MintedKeyRouter {
		return new MintedKeyRouter(options);
	}

	private constructor(private readonly options: MintedKeyRouterOptions) {}

	/** Like `RequestRunner.run`. A forwarded request streams no chunks: its answer holds the whole text. */
	async run(pipeline: string, body: unknown, options: RequestOptions = {}): Promise<RequestResult> {
		const {clock, incarnation, runner, forwarder, pipelineDeadlineMs} = this.options;
		const parsed = callerRequestSchema.safeParse(body);
		const minted = parsed.data?.idempotency && parseMintedKey(parsed.data.idempotency.key);
		const target = forwarder();
		const budgetMs = parsed.data?.deadline_ms ?? pipelineDeadlineMs(pipeline);
		if (!minted || minted.incarnation === incarnation || !target || budgetMs === undefined) {
			return runner.run(pipeline, body, options);
		}

		const requestId = options.requestId ?? randomUUID();
		options.onAdmitted?.(requestId);
		const result = await target.forward(pipeline, body, minted.incarnation, clock.now() + budgetMs, requestId);
		return result === 'gone'
			? {
				request_id: requestId, outcome: 'unknown', reason: 'minter_gone', message: 'Cannot tell the outcome: the entry VM that minted the key is gone or unreachable',
			}
			: {...result, request_id: requestId};
	}
}
