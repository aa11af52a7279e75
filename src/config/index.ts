export type {AppliedConfig, ConfigView} from './config-view.js';
export {
	declarationKey, declarationSchema, stageKinds,
	type Declaration, type DeclarationKey, type Model, type Path, type Pipeline, type Policy, type Pool, type Stage, type StageKind, type TargetDeclaration, type Team, type Zone,
} from './declarations.js';
export {DeclarationSet} from './declarations-set.js';
export {StaticConfigView} from './static-config-view.js';
export {ConfigFollower} from './config-follower.js';
export {
	changeRecordSchema, emptyConfig, foldConfig, type ChangeRecord, type FoldVerdict,
} from './fold.js';
