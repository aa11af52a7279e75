import {Counter, Gauge, type Registry} from 'prom-client';
import type {WorkSum} from './prompt-work.js';

/** Reads the totals over all engines of own and of reported work. */
export type ReadPromptTotals = () => {readonly own: WorkSum; readonly reported: WorkSum};

/**
 * Prometheus metrics of the prompt work at model engines.
 *
 * @example
 * PromptMetrics.create(registry, () => loads.totals()).recordPrompt({kind: 'long', isSpilled: false});
 */
export class PromptMetrics {
	static create(registry: Registry, readTotals: ReadPromptTotals): PromptMetrics {
		return new PromptMetrics(registry, readTotals);
	}

	readonly #prompts: Counter<'kind' | 'spilled'>;

	private constructor(registry: Registry, readTotals: ReadPromptTotals) {
		this.#prompts = new Counter({
			name: 'guavamill_relay_prompts_total', help: 'Prompts sent to model engines: long or short beside others, or not divided, and whether the engine is kept for the other kind.', labelNames: ['kind', 'spilled'], registers: [registry],
		});
		// eslint-disable-next-line no-new -- The constructor registers the gauge with the registry.
		new Gauge({
			name: 'guavamill_relay_prompt_tokens',
			help: 'Tokens at model engines that are still to be prefilled, or need memory, for requests of this entry VM and as reported by others.',
			labelNames: ['source', 'part'],
			registers: [registry],
			collect() {
				for (const [source, {pendingTokens, heldTokens}] of Object.entries(readTotals())) {
					this.set({source, part: 'pending'}, Math.round(pendingTokens));
					this.set({source, part: 'held'}, Math.round(heldTokens));
				}
			},
		});
	}

	/** Counts a prompt that is sent; `side` is `undefined` if prompts are not divided. */
	recordPrompt(side: {readonly kind: 'long' | 'short'; readonly isSpilled: boolean} | undefined): void {
		this.#prompts.inc({kind: side?.kind ?? 'undivided', spilled: side?.isSpilled ? '1' : '0'});
	}
}
