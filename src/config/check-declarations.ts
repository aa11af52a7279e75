import type {Ms} from '../clock/index.js';
import type {DeclarationFinding} from './declaration-finding.js';
import type {DeclarationSet} from './declarations-set.js';
import {
	type Declaration, type DeclarationKey, type Model, type Path, type Pipeline, type Stage, type TargetDeclaration,
} from './declarations.js';

/** Prompt and answer sizes that the estimate of a generate stage assumes, in tokens. */
const estimatedPromptTokens = 512;
const estimatedAnswerTokens = 128;

type Report = (severity: DeclarationFinding['severity'], path: string, message: string) => void;

/**
 * Checks the references between declarations. The result depends on the set alone, so that every process that folds a
 * change decides alike.
 *
 * @example
 * const errors = checkDeclarations(set).filter(finding => finding.severity === 'error');
 */
export function checkDeclarations(set: DeclarationSet): DeclarationFinding[] {
	const findings: DeclarationFinding[] = [];
	const regions = new Set(ofKind(set, 'zone').map(zone => zone.region));
	const firstPaths = new Map<string, string>();
	const addresses = new Map<string, string>();
	for (const [key, declaration] of set.byKey) {
		const report = reporter(findings, key);
		switch (declaration.kind) {
			case 'target': {
				checkTarget(set, declaration, report);
				checkDuplicate(addresses, declaration.address, declaration.name, message => {
					report('warning', 'address', `is also the address of target ${message}`);
				});
				break;
			}

			case 'pipeline': {
				checkPipeline(set, declaration, report);
				break;
			}

			case 'model': {
				checkModel(set, declaration, report);
				break;
			}

			case 'path': {
				checkPath(regions, declaration, report);
				checkDuplicate(firstPaths, JSON.stringify([declaration.from, declaration.to].toSorted()), declaration.name, message => {
					report('error', 'from', `connects the same regions as path ${message}`);
				});
				break;
			}

			case 'pool': {
				if (declaration.model !== undefined && !set.byKey.has(`model/${declaration.model}`)) {
					report('warning', 'model', `names model ${declaration.model}, which is not declared`);
				}

				break;
			}

			default: {
				break;
			}
		}
	}

	return findings;
}

function reporter(findings: DeclarationFinding[], key: DeclarationKey): Report {
	return (severity, path, message) => {
		findings.push({
			severity, key, path, message,
		});
	};
}

function checkDuplicate(first: Map<string, string>, id: string, name: string, report: (other: string) => void): void {
	const other = first.get(id);
	if (other === undefined) {
		first.set(id, name);
	} else {
		report(other);
	}
}

function checkTarget(set: DeclarationSet, target: TargetDeclaration, report: Report): void {
	if (!set.pool(target.pool)) {
		report('error', 'pool', `names pool ${target.pool}, which is not declared`);
	}

	if (!set.zone(target.zone)) {
		report('error', 'zone', `names zone ${target.zone}, which is not declared`);
	}
}

function checkModel(set: DeclarationSet, model: Model, report: Report): void {
	const pool = set.pool(model.pool);
	if (!pool) {
		report('error', 'pool', `names pool ${model.pool}, which is not declared`);
	} else if (pool.type !== 'engine') {
		report('error', 'pool', `names pool ${model.pool}, which is not an engine pool`);
	}
}

function checkPath(regions: ReadonlySet<string>, path: Path, report: Report): void {
	for (const end of ['from', 'to'] as const) {
		if (!regions.has(path[end])) {
			report('error', end, `names region ${path[end]}, which no zone stands in`);
		}
	}
}

function checkPipeline(set: DeclarationSet, pipeline: Pipeline, report: Report): void {
	const names = new Set<string>();
	for (const [index, stage] of pipeline.stages.entries()) {
		if (names.has(stage.name)) {
			report('error', `stages.${index}.name`, `repeats the stage name ${stage.name}`);
		}

		names.add(stage.name);
		checkStage(set, stage, `stages.${index}`, report);
	}

	const estimateMs = pipeline.stages.reduce((sum, stage) => sum + stageEstimate(set, stage), 0);
	if (estimateMs > pipeline.deadline_ms) {
		report('warning', 'deadline_ms', `is shorter than the estimate of all stages, ${Math.round(estimateMs)} ms`);
	}
}

function checkStage(set: DeclarationSet, stage: Stage, path: string, report: Report): void {
	const pool = set.pool(stage.pool);
	if (!pool) {
		report('error', `${path}.pool`, `names pool ${stage.pool}, which is not declared`);
		return;
	}

	const needed = stage.kind === 'generate' ? 'engine' : 'service';
	if (pool.type !== needed) {
		report('error', `${path}.pool`, `names ${pool.type} pool ${stage.pool}; stage kind ${stage.kind} needs a pool of type ${needed}`);
	}

	if (set.poolTargets(stage.pool).length === 0) {
		report('warning', `${path}.pool`, `names pool ${stage.pool}, which has no target`);
	}
}

function stageEstimate(set: DeclarationSet, stage: Stage): Ms {
	const pool = set.pool(stage.pool);
	if (!pool) {
		return 0;
	}

	return stage.kind === 'generate'
		? (pool.prefill_ms_per_token * estimatedPromptTokens) + (pool.decode_ms_per_token * (stage.max_tokens ?? estimatedAnswerTokens))
		: pool.service_ms;
}

function ofKind<K extends Declaration['kind']>(set: DeclarationSet, kind: K): Array<Extract<Declaration, {kind: K}>> {
	return [...set.byKey.values()].filter(declaration => declaration.kind === kind) as Array<Extract<Declaration, {kind: K}>>;
}
