// Worker of bench/policy.ts: replays one trace under one policy for each message.
import {parentPort} from 'node:worker_threads';
import {
	makeTrace, replayTrace, type DeploymentName, type ReplayReport, type TraceName,
} from '../src/replay/index.js';
import {policies} from './policies.js';

/** One cell of the benchmark. */
export type PolicyJob = {readonly name: TraceName; readonly deployment: DeploymentName; readonly seed: number; readonly policy: string};

/** Report of a job, the small team of its trace and the wall time that the replay took. */
export type PolicyOutcome = {readonly report: ReplayReport; readonly small: string; readonly tookMs: number};

parentPort!.on('message', (job: PolicyJob) => {
	void run(job);
});

async function run(job: PolicyJob): Promise<void> {
	const trace = makeTrace(job);
	const startedAt = Date.now();
	const {report} = await replayTrace(trace, {policy: policies.find(policy => policy.name === job.policy)!});
	const outcome: PolicyOutcome = {report, small: Object.keys(trace.header.outcomes.min_attainment)[0]!, tookMs: Date.now() - startedAt};
	parentPort!.postMessage(outcome);
}
