export {
	createDeployment, type Deployment, type EntryVmLocation, type TeamRoles,
} from './deployment.js';
export {formatReport} from './format-report.js';
export {
	makeTrace, traceNames, type MakeTraceOptions, type TraceName,
} from './make-trace.js';
export {replayOverHttp, type HttpReplayOptions} from './replay-over-http.js';
export {replayPolicies} from './replay-policies.js';
export type {PolicyContext, ReplayPolicy, ReplayScheduler} from './replay-policy.js';
export {replayTrace, type ReplayOptions, type ReplayResult} from './replay-trace.js';
export type {
	FleetMetrics, OutcomeCheck, RejectionMetrics, ReplayReport, StageMetrics, TeamReport,
} from './report.js';
export {isAttained, type RequestRecord} from './request-record.js';
export {segmentText} from './segment-text.js';
export {formatTrace, parseTrace} from './trace-file.js';
export {
	deploymentNames, traceFaultKinds, traceFaultSchema, traceHeaderSchema, traceRequestSchema,
	type DeploymentName, type Trace, type TraceFault, type TraceHeader, type TraceRequest, type TraceSegment,
} from './trace.js';
export {VirtualClock} from './virtual-clock.js';
