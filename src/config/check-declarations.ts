import type {Ms} from '../clock/index.js';
import type {DeclarationFinding} from './declaration-finding.js';
import type {DeclarationSet} from './declaration-set.js';
import {
	type Declaration, type DeclarationKey, type Model, type Path, type Pipeline, type Stage, type TargetDeclaration,
} from './declarations.js';

/** Prompt and output lengths assumed for the duration estimate of a generate stage, in tokens. */
const assumedPromptTokens = 512;
const assumedOutputTokens = 128;

type ReportFinding = (severity: DeclarationFinding['severity'], path: string, message: string) => void;

/**
 * Validates the references between declarations. The result depends only on the set, so that every process that folds a
 * change reaches the same verdict.
 *
 * @example
 * const errors = checkDeclarations(set).filter(finding => finding.severity === 'error');
 */
export function checkDeclarations(set: DeclarationSet): DeclarationFinding[] {
	const findings: DeclarationFinding[] = [];
	const regions = new Set(ofKind(set, 'zone').map(zone => zone.region));
	const pathsByRegions = new Map<string, string>();
	const targetsByAddress = new Map<string, string>();
	for (const [key, declaration] of set.byKey) {
		const report = createReporter(findings, key);
		switch (declaration.kind) {
			case 'target': {
				checkTarget(set, declaration, report);
				checkDuplicate(targetsByAddress, declaration.address, declaration.name, other => {
					report('warning', 'address', `is also the address of target ${other}`);
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
				checkDuplicate(pathsByRegions, JSON.stringify([declaration.from, declaration.to].toSorted()), declaration.name, other => {
					report('error', 'from', `connects the same regions as path ${other}`);
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

function createReporter(findings: DeclarationFinding[], key: DeclarationKey): ReportFinding {
	return (severity, path, message) => {
		findings.push({
			severity, key, path, message,
		});
	};
}

function checkDuplicate(seen: Map<string, string>, id: string, name: string, report: (other: string) => void): void {
	const other = seen.get(id);
	if (other === undefined) {
		seen.set(id, name);
	} else {
		report(other);
	}
}

function checkTarget(set: DeclarationSet, target: TargetDeclaration, report: ReportFinding): void {
	if (!set.pool(target.pool)) {
		report('error', 'pool', `names pool ${target.pool}, which is not declared`);
	}

	if (!set.zone(target.zone)) {
		report('error', 'zone', `names zone ${target.zone}, which is not declared`);
	}
}

function checkModel(set: DeclarationSet, model: Model, report: ReportFinding): void {
	const pool = set.pool(model.pool);
	if (!pool) {
		report('error', 'pool', `names pool ${model.pool}, which is not declared`);
	} else if (pool.type !== 'engine') {
		report('error', 'pool', `names pool ${model.pool}, which is not an engine pool`);
	}
}

function checkPath(regions: ReadonlySet<string>, path: Path, report: ReportFinding): void {
	for (const end of ['from', 'to'] as const) {
		if (!regions.has(path[end])) {
			report('error', end, `names region ${path[end]}, which has no zone`);
		}
	}
}

function checkPipeline(set: DeclarationSet, pipeline: Pipeline, report: ReportFinding): void {
	const names = new Set<string>();
	for (const [index, stage] of pipeline.stages.entries()) {
		if (names.has(stage.name)) {
			report('error', `stages.${index}.name`, `repeats the stage name ${stage.name}`);
		}

		names.add(stage.name);
		checkStage(set, stage, `stages.${index}`, report);
	}

	const estimateMs = pipeline.stages.reduce((sum, stage) => sum + estimateStageMs(set, stage), 0);
	if (estimateMs > pipeline.deadline_ms) {
		report('warning', 'deadline_ms', `is shorter than the estimate of all stages, ${Math.round(estimateMs)} ms`);
	}
}

function checkStage(set: DeclarationSet, stage: Stage, path: string, report: ReportFinding): void {
	const pool = set.pool(stage.pool);
	if (!pool) {
		report('error', `${path}.pool`, `names pool ${stage.pool}, which is not declared`);
		return;
	}

	const requiredType = stage.kind === 'generate' ? 'engine' : 'service';
	if (pool.type !== requiredType) {
		report('error', `${path}.pool`, `names ${pool.type} pool ${stage.pool}; stage kind ${stage.kind} needs a pool of type ${requiredType}`);
	}

	if (set.poolTargets(stage.pool).length === 0) {
		report('warning', `${path}.pool`, `names pool ${stage.pool}, which has no target`);
	}
}

function estimateStageMs(set: DeclarationSet, stage: Stage): Ms {
	const pool = set.pool(stage.pool);
	if (!pool) {
		return 0;
	}

	return stage.kind === 'generate'
		? (pool.prefill_ms_per_token * assumedPromptTokens) + (pool.decode_ms_per_token * (stage.max_tokens ?? assumedOutputTokens))
		: pool.service_ms;
}

function ofKind<K extends Declaration['kind']>(set: DeclarationSet, kind: K): Array<Extract<Declaration, {kind: K}>> {
	return [...set.byKey.values()].filter(declaration => declaration.kind === kind) as Array<Extract<Declaration, {kind: K}>>;
}
