// `npm run bench:policy [-- --seed 1 --deployment die-works --trace burst --policy fair --workers 3]`:
// replays every trace under every policy in virtual time; prints a table of the results and a table of the goals of the policy.
import process from 'node:process';
import {parseArgs} from 'node:util';
import {Worker} from 'node:worker_threads';
import {deploymentNames, traceNames} from '../src/replay/index.js';
import {policies} from './policies.js';
import {checkGoals} from './policy-goals.js';
import type {PolicyJob, PolicyOutcome} from './policy-worker.js';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		deployment: {type: 'string', multiple: true, default: [...deploymentNames]},
		trace: {type: 'string', multiple: true, default: [...traceNames]},
		policy: {type: 'string', multiple: true, default: policies.map(policy => policy.name)},
		workers: {type: 'string', default: '3'},
	},
});

const deployments = deploymentNames.filter(name => values.deployment.includes(name));
const traces = traceNames.filter(name => values.trace.includes(name));
const policyNames = policies.map(policy => policy.name).filter(name => values.policy.includes(name));
const jobs = deployments.flatMap(deployment => traces.flatMap(name => policyNames.map((policy): PolicyJob => ({
	name, deployment, seed: Number(values.seed), policy,
}))));

function jobKey(job: Pick<PolicyJob, 'deployment' | 'name' | 'policy'>): string {
	return `${job.deployment} ${job.name} ${job.policy}`;
}

// Worker threads do not inherit the TypeScript loader, so each worker registers it.
const workerCode = `
	const {workerData} = require('node:worker_threads');
	import('tsx/esm/api').then(({register}) => {
		register();
		return import(workerData);
	});
`;

async function runAll(): Promise<Map<string, PolicyOutcome>> {
	const outcomes = new Map<string, PolicyOutcome>();
	const remainingJobs = [...jobs];
	await Promise.all(Array.from({length: Number(values.workers)}, async () => {
		const worker = new Worker(workerCode, {eval: true, workerData: new URL('policy-worker.ts', import.meta.url).href});
		for (let job = remainingJobs.shift(); job; job = remainingJobs.shift()) {
			const outcome = await new Promise<PolicyOutcome>((resolve, reject) => {
				worker.once('message', resolve);
				worker.once('error', reject);
				worker.postMessage(job);
			});
			worker.removeAllListeners('error');
			outcomes.set(jobKey(job), outcome);
		}

		await worker.terminate();
	}));
	return outcomes;
}

type Column = {readonly title: string; readonly cell: (outcome: PolicyOutcome) => string};

function percent(value: number, digits = 1): string {
	return (value * 100).toFixed(digits);
}

function smallTeamReport({report, smallTeam}: PolicyOutcome) {
	return report.teams.find(team => team.team === smallTeam)!;
}

const columns: Column[] = [
	{title: 'deployment', cell: ({report}) => report.deployment},
	{title: 'trace', cell: ({report}) => report.trace},
	{title: 'policy', cell: ({report}) => report.policy},
	{title: 'small %', cell: outcome => percent(smallTeamReport(outcome).attainment)},
	{title: 'all %', cell: ({report}) => percent(report.attainment)},
	{title: 'small p95', cell: outcome => smallTeamReport(outcome).latencyP95.toFixed(0)},
	{title: 'first p95', cell: outcome => smallTeamReport(outcome).firstTokenP95.toFixed(0)},
	{title: 'gap p95', cell: outcome => smallTeamReport(outcome).gapP95.toFixed(0)},
	{title: 'wait p95', cell: ({report}) => report.fleet!.waitP95.toFixed(0)},
	{title: 'rejected', cell: ({report}) => String(report.rejections.reduce((sum, entry) => sum + entry.count, 0))},
	{title: 'late %', cell: ({report}) => percent(report.late, 2)},
	{title: 'false not run', cell: ({report}) => String(report.fleet!.falseNotRun)},
	{title: 'double runs', cell: ({report}) => String(report.fleet!.doubleRuns)},
	{title: 'wrong answers', cell: ({report}) => String(report.wrongAnswers)},
	{title: 'goodput', cell: ({report}) => String(report.goodput.tokens)},
	{title: 'cross MB', cell: ({report}) => (report.fleet!.crossRegionBytes / 1e6).toFixed(1)},
	{title: 'cost', cell: ({report}) => report.fleet!.cost.toFixed(0)},
	{title: 'prefill %', cell: ({report}) => percent(report.fleet!.prefill.shareOfBound)},
	{title: 'outcomes met', cell: ({report}) => `${report.outcomes.filter(check => check.held).length}/${report.outcomes.length}`},
];

function printTable(rows: ReadonlyArray<readonly string[]>, textColumns: number): void {
	const widths = rows[0]!.map((_cell, column) => Math.max(...rows.map(row => row[column]!.length)));
	for (const row of rows) {
		console.log(`| ${row.map((cell, column) => column < textColumns ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join(' | ')} |`);
	}
}

const startedAt = Date.now();
const outcomes = await runAll();
const rows = jobs.map(job => columns.map(column => column.cell(outcomes.get(jobKey(job))!)));
const rule = columns.map((_column, index) => index < 3 ? '---' : '--:');
printTable([columns.map(column => column.title), rule, ...rows], 3);
console.log('');
const goals = deployments.flatMap(deployment => checkGoals(deployment, traces, policyNames, (deploymentName, name, policy) => outcomes.get(jobKey({deployment: deploymentName, name, policy}))));
printTable([['deployment', 'goal', 'measured', 'met'], ['---', '---', '---', '---'], ...goals.map(goal => [goal.deployment, goal.goal, goal.measured, goal.isMet ? 'yes' : 'NO'])], 4);
console.log(`\nseed ${values.seed}, ${((Date.now() - startedAt) / 1000).toFixed(0)} s, ${goals.filter(goal => !goal.isMet).length} of ${goals.length} goals not met`);
process.exit(0);
