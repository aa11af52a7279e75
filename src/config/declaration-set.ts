import {
	type Declaration, type DeclarationKey, type Model, type Path, type Pipeline, type Policy, type Pool, type TargetDeclaration, type Team, type Zone, declarationKey, policySchema,
} from './declarations.js';

const defaultPolicy: Policy = policySchema.parse({kind: 'policy', name: 'default'});

/**
 * Immutable set of declarations, indexed by key.
 *
 * @example
 * const set = DeclarationSet.create(declarations);
 * set.team('engravers')?.weight;
 */
export class DeclarationSet {
	static create(declarations: Iterable<Declaration> = []): DeclarationSet {
		return new DeclarationSet(new Map([...declarations].map(declaration => [declarationKey(declaration), declaration])));
	}

	readonly #poolTargets = new Map<string, TargetDeclaration[]>();

	private constructor(readonly byKey: ReadonlyMap<DeclarationKey, Declaration>) {
		for (const target of this.targets()) {
			const targets = this.#poolTargets.get(target.pool) ?? [];
			targets.push(target);
			this.#poolTargets.set(target.pool, targets);
		}
	}

	/** Returns a new set without the keys in `remove` and with the declarations in `set` added or replaced. */
	with(set: readonly Declaration[], remove: readonly DeclarationKey[] = []): DeclarationSet {
		const next = new Map(this.byKey);
		for (const key of remove) {
			next.delete(key);
		}

		for (const declaration of set) {
			next.set(declarationKey(declaration), declaration);
		}

		return new DeclarationSet(next);
	}

	zone(name: string): Zone | undefined {
		return this.byKey.get(`zone/${name}`) as Zone | undefined;
	}

	team(name: string): Team | undefined {
		return this.byKey.get(`team/${name}`) as Team | undefined;
	}

	pool(name: string): Pool | undefined {
		return this.byKey.get(`pool/${name}`) as Pool | undefined;
	}

	target(name: string): TargetDeclaration | undefined {
		return this.byKey.get(`target/${name}`) as TargetDeclaration | undefined;
	}

	pipeline(name: string): Pipeline | undefined {
		return this.byKey.get(`pipeline/${name}`) as Pipeline | undefined;
	}

	/** The policy named `default`, or the built-in default policy. */
	policy(): Policy {
		return (this.byKey.get('policy/default') as Policy | undefined) ?? defaultPolicy;
	}

	teams(): Team[] {
		return this.#ofKind('team');
	}

	targets(): TargetDeclaration[] {
		return this.#ofKind('target');
	}

	pipelines(): Pipeline[] {
		return this.#ofKind('pipeline');
	}

	models(): Model[] {
		return this.#ofKind('model');
	}

	/** The path between two regions, in either direction. */
	path(from: string, to: string): Path | undefined {
		return this.#ofKind<Path>('path').find(path => (path.from === from && path.to === to) || (path.from === to && path.to === from));
	}

	/** Declared targets of a pool. */
	poolTargets(pool: string): readonly TargetDeclaration[] {
		return this.#poolTargets.get(pool) ?? [];
	}

	/** Longest deadline of any pipeline or team, in ms; 0 when none is declared. */
	longestDeadlineMs(): number {
		return Math.max(0, ...this.pipelines().map(pipeline => pipeline.deadline_ms), ...this.teams().map(team => team.deadline_ms));
	}

	#ofKind<T extends Declaration>(kind: T['kind']): T[] {
		return [...this.byKey.values()].filter(declaration => declaration.kind === kind) as T[];
	}
}
