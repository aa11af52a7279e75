import type {ReplayReport} from './report.js';

type Row = ReadonlyArray<string | number>;

/**
 * Formats a report as text tables.
 *
 * @example
 * print(formatReport(report));
 */
export function formatReport(report: ReplayReport): string {
	const {fleet} = report;
	const sections = [
		`Trace ${report.trace} (${report.deployment}, seed ${report.seed}) by ${report.policy}: ${report.requests} requests, ${percent(report.attainment)} attained, ${percent(report.late)} late among ${report.admitted} admitted, ${report.wrongAnswers} wrong answers, goodput ${report.goodput.requests} requests and ${report.goodput.tokens} tokens.`,
		table(['team', 'requests', 'attained', 'p50 ms', 'p95 ms', 'first token p95 ms', 'gap p95 ms'], report.teams.map(team => [
			team.team, team.requests, percent(team.attainment), round(team.latencyP50), round(team.latencyP95), round(team.firstTokenP95), round(team.gapP95),
		])),
	];
	if (fleet) {
		sections.push(
			table(['stage', 'completed', 'attempts', 'wait p50 ms', 'wait p95 ms', 'service p95 ms', 'cross-region MB', 'bytes cost', 'cost'], fleet.stages.map(stage => [
				stage.stage, percent(stage.completed), stage.attempts, round(stage.waitP50), round(stage.waitP95), round(stage.serviceP95), (stage.crossRegionBytes / 1e6).toFixed(2), stage.bytesCost.toFixed(5), stage.cost.toFixed(2),
			])),
			`Cross-region ${(fleet.crossRegionBytes / 1e6).toFixed(1)} MB, cost ${fleet.cost.toFixed(2)}. Prefill: ${fleet.prefill.saved} of ${fleet.prefill.tokens} prompt tokens saved, ${percent(fleet.prefill.shareOfBound)} of the upper bound.`,
		);
	}

	if (report.rejections.length > 0) {
		sections.push(table(['outcome', 'reason', 'count', 'false not_run'], report.rejections.map(entry => [entry.outcome, entry.reason, entry.count, fleet ? entry.falseNotRun : 'not checked'])));
	}

	sections.push(table(['expected outcome', 'observed', 'met'], report.outcomes.map(check => [check.outcome, check.seen, check.held ? 'yes' : 'NO'])));
	return sections.join('\n\n');
}

function table(head: readonly string[], rows: readonly Row[]): string {
	const widths = head.map((title, column) => Math.max(title.length, ...rows.map(row => String(row[column]).length)));
	const line = (row: Row) => row.map((cell, column) => column === 0 ? String(cell).padEnd(widths[column]!) : String(cell).padStart(widths[column]!)).join('  ');
	return [head, ...rows].map(row => line(row)).join('\n');
}

function percent(share: number): string {
	return `${(share * 100).toFixed(2)} %`;
}

function round(ms: number): number {
	return Math.round(ms * 10) / 10;
}
