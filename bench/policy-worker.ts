// Worker of bench/policy.ts: replays one trace under one policy for each message.
import {parentPort} from 'node:worker_threads';
import {
	makeTrace, replayTrace, type DeploymentName, type ReplayReport, type TraceName,
} from '../src/replay/index.js';
import {policies} from './policies.js';

/** Replay of one trace under one policy. */
export type PolicyJob = {readonly name: TraceName; readonly deployment: DeploymentName; readonly seed: number; readonly policy: string};

/** Result of a job: the report, the name of the small team in the trace, and the wall time of the replay. */
export type PolicyOutcome = {readonly report: ReplayReport; readonly smallTeam: string; readonly tookMs: number};

parentPort!.on('message', (job: PolicyJob) => {
	void run(job);
});

async function run(job: PolicyJob): Promise<void> {
	const trace = makeTrace(job);
	const startedAt = Date.now();
	const {report} = await replayTrace(trace, {policy: policies.find(policy => policy.name === job.policy)!});
	const outcome: PolicyOutcome = {report, smallTeam: Object.keys(trace.header.outcomes.min_attainment)[0]!, tookMs: Date.now() - startedAt};
	parentPort!.postMessage(outcome);
}
