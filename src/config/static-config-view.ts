import type {AppliedConfig, ConfigView} from './config-view.js';
import {DeclarationSet} from './declaration-set.js';
import type {Declaration} from './declarations.js';

/**
 * Configuration view of a fixed set of declarations, for tests, benchmarks and replays without a log.
 *
 * @example
 * const config = StaticConfigView.create(declarations);
 */
export class StaticConfigView implements ConfigView {
	static create(declarations: Iterable<Declaration>): StaticConfigView {
		return new StaticConfigView({offset: 0, revision: 0, declarations: DeclarationSet.create(declarations)});
	}

	private constructor(private readonly config: AppliedConfig) {}

	current(): AppliedConfig {
		return this.config;
	}

	onChange(): () => void {
		return () => undefined;
	}
}
