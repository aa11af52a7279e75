export type {AppliedConfig, ConfigView} from './config-view.js';
export {
	declarationKey, declarationSchema, stageKinds,
	type Declaration, type DeclarationKey, type Model, type Path, type Pipeline, type Policy, type Pool, type Stage, type StageKind, type TargetDeclaration, type Team, type Zone,
} from './declarations.js';
export {DeclarationSet} from './declaration-set.js';
export {StaticConfigView} from './static-config-view.js';
export type {DeclarationFinding} from './declaration-finding.js';
export {checkChange} from './check-change.js';
export {checkDeclarations} from './check-declarations.js';
export {formatDeclarationFinding} from './format-declaration-finding.js';
export {loadDeclarations, type DeclarationFile, type LoadedDeclarations} from './load-declarations.js';
export {planChange, type PlanStep} from './plan-change.js';
export {
	decodeConfigState, encodeConfigState, isNewerConfig, type ChangeVerdict, type ConfigState, type DecodedConfigState,
} from './config-state.js';
export type {ConfigEndpoint, ConfigPeers} from './config-peers.js';
export {MemoryConfigPeers} from './memory-config-peers.js';
export type {ConfigLifecycleState} from './config-lifecycle.js';
export {ConfigFollower} from './config-follower.js';
export type {ConfigFollowerOptions} from './config-follower-options.js';
export {ConfigWriter, type ApplyResult, type ChangeRequest} from './config-writer.js';
export {
	changeRecordSchema, emptyConfig, foldConfig, type ChangeRecord, type FoldResult, type FoldVerdict,
} from './fold-config.js';
