export {DrainingReports, type DrainingMessage, type DrainingReportsOptions} from './draining-reports.js';
export {RelayTarget, type CallOutcome, type TargetEntry} from './relay-target.js';
export {ListMemo} from './list-memo.js';
export type {TargetLoad} from './target-load.js';
export {TargetRegistry, type TargetRegistryOptions} from './target-registry.js';
