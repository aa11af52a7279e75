export {
	foldLeases, leaseRecordSchema, type Lease, type LeaseRecord, type LeaseTable,
} from './lease-fold.js';
export {nextLeaseState, type LeaseEvent, type LeaseState} from './lease-lifecycle.js';
export {LeaseService, type LeaseServiceOptions} from './lease-service.js';
export {EngineReconciler, type EngineReconcilerOptions} from './engine-reconciler.js';
export {WeightBudget} from './weight-budget.js';
