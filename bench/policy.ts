// `npm run bench:policy [-- --seed 1 --deployment die-works --trace burst --policy fcfs+least]`: every trace under every policy, in virtual time.
import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	deploymentNames, makeTrace, replayTrace, traceNames, type ReplayReport,
} from '../src/replay/index.js';
import {policies} from './policies.js';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		deployment: {type: 'string', multiple: true, default: [...deploymentNames]},
		trace: {type: 'string', multiple: true, default: [...traceNames]},
		policy: {type: 'string', multiple: true, default: policies.map(policy => policy.name)},
	},
});

const columns = ['deployment', 'trace', 'policy', 'small', 'all', 'p95', 'first95', 'gap95', 'wait95', 'rej', 'late%', 'false', 'double', 'wrong', 'good', 'xMB', 'money', 'cost', 'prefill%', 'held', 'ms'];
const widths = [10, 14, 14, 6, 6, 6, 7, 5, 6, 5, 6, 5, 6, 5, 7, 7, 7, 7, 8, 5, 6];

function row(cells: ReadonlyArray<string | number>): string {
	return cells.map((cell, index) => index < 3 ? String(cell).padEnd(widths[index]!) : String(cell).padStart(widths[index]!)).join(' ');
}

function percent(value: number): string {
	return (value * 100).toFixed(1);
}

function cells(report: ReplayReport, small: string, tookMs: number): Array<string | number> {
	const team = report.teams.find(entry => entry.team === small)!;
	const fleet = report.fleet!;
	const rejected = report.rejections.reduce((sum, entry) => sum + entry.count, 0);
	return [
		report.deployment, report.trace, report.policy, percent(team.attainment), percent(report.attainment), Math.round(team.latencyP95), Math.round(team.firstTokenP95), Math.round(team.gapP95), Math.round(fleet.waitP95), rejected, (report.late * 100).toFixed(2), fleet.falseNotRun, fleet.doubleRuns, report.wrongAnswers, report.goodput.tokens, (fleet.crossRegionBytes / 1e6).toFixed(1), fleet.bytesCost.toFixed(4), fleet.cost.toFixed(1), percent(fleet.prefill.shareOfBound), `${report.outcomes.filter(check => check.held).length}/${report.outcomes.length}`, Math.round(tookMs),
	];
}

const startedAt = Date.now();
console.log(row(columns));
for (const deployment of deploymentNames.filter(name => values.deployment.includes(name))) {
	for (const name of traceNames.filter(candidate => values.trace.includes(candidate))) {
		const trace = makeTrace({name, deployment, seed: Number(values.seed)});
		const small = Object.keys(trace.header.outcomes.min_attainment)[0]!;
		for (const policy of policies.filter(candidate => values.policy.includes(candidate.name))) {
			const start = Date.now();
			const {report} = await replayTrace(trace, {policy});
			console.log(row(cells(report, small, Date.now() - start)));
		}
	}
}

console.log(`\nseed ${values.seed}, ${((Date.now() - startedAt) / 1000).toFixed(1)} s, node ${process.version}`);
