import type {Ms} from '../clock/index.js';
import type {DeclarationSet} from '../config/index.js';
import {isRejection, type Rejection} from '../requests/index.js';
import {percentile} from './percentile.js';
import {maxSavedPrefillTokens} from './max-saved-prefill-tokens.js';
import {isAttained, type RequestRecord} from './request-record.js';
import type {ExecutionRecorder, ReceivedCall} from './execution-recorder.js';
import type {StageRecorder} from './stage-recorder.js';
import type {Trace} from './trace.js';

/** Metrics of one team, with times as the caller sees them. */
export interface TeamReport {
	readonly team: string;
	readonly requests: number;
	/** Share of requests answered completely, correctly and within their deadline. */
	readonly attainment: number;
	readonly latencyP50: Ms;
	readonly latencyP95: Ms;
	readonly firstTokenP95: Ms;
	readonly gapP95: Ms;
}

/** Metrics of one stage over all teams, with costs in the unit of the declarations. */
export interface StageMetrics {
	readonly stage: string;
	/** Share of the requests that reached the stage and completed it. */
	readonly completed: number;
	readonly attempts: number;
	/** Time from queueing at the entry VM until the target starts to execute the call. */
	readonly waitP50: Ms;
	readonly waitP95: Ms;
	readonly serviceP95: Ms;
	readonly crossRegionBytes: number;
	readonly bytesCost: number;
	/** Cost of busy target time and of transferred bytes. */
	readonly cost: number;
}

/** Rejections with the same outcome and reason. `falseNotRun` counts those that the recorded executions contradict. */
export interface RejectionMetrics {
	readonly outcome: string;
	readonly reason: string;
	readonly count: number;
	readonly falseNotRun: number;
}

/** An expected outcome of the trace and whether it was met. */
export interface OutcomeCheck {
	readonly outcome: string;
	readonly seen: string;
	readonly held: boolean;
}

/** Metrics that are available only with simulated targets. */
export interface FleetMetrics {
	readonly stages: readonly StageMetrics[];
	readonly waitP95: Ms;
	readonly crossRegionBytes: number;
	readonly bytesCost: number;
	readonly cost: number;
	/** Number of idempotency keys whose call was executed more than once. */
	readonly doubleRuns: number;
	readonly falseNotRun: number;
	/** Prompt tokens, those that prefix caches saved, and the upper bound on the savings. */
	readonly prefill: {readonly tokens: number; readonly saved: number; readonly bound: number; readonly shareOfBound: number};
}

/** Report of one replay. */
export interface ReplayReport {
	readonly trace: string;
	readonly deployment: string;
	readonly seed: number;
	readonly policy: string;
	readonly requests: number;
	readonly attainment: number;
	/** Requests with an answer other than the expected one. */
	readonly wrongAnswers: number;
	readonly admitted: number;
	/** Share of admitted requests that missed their deadline. */
	readonly late: number;
	/** Attained requests and the tokens that they requested. */
	readonly goodput: {readonly requests: number; readonly tokens: number};
	readonly teams: readonly TeamReport[];
	readonly rejections: readonly RejectionMetrics[];
	/** Absent when the trace was replayed against running entry VMs. */
	readonly fleet?: FleetMetrics;
	readonly outcomes: readonly OutcomeCheck[];
}

/** Inputs of `createReport`. */
export interface ReportInput {
	readonly trace: Trace;
	readonly policy: string;
	readonly records: readonly RequestRecord[];
	readonly declarations: DeclarationSet;
	readonly callerLatencyMs: Ms;
	readonly events?: StageRecorder;
	readonly executions?: ExecutionRecorder;
}

/** Computes the report of a replay. @internal */
export function createReport(input: ReportInput): ReplayReport {
	const {trace, records} = input;
	const attained = records.filter(record => isAttained(record));
	const admitted = records.filter(record => record.isAdmitted);
	const late = admitted.filter(record => isLate(record));
	const rejections = createRejectionMetrics(input);
	const fleet = input.executions && input.events ? createFleetMetrics(input, input.executions, input.events) : undefined;
	const base = {
		trace: trace.header.name,
		deployment: trace.header.deployment,
		seed: trace.header.seed,
		policy: input.policy,
		requests: trace.requests.length,
		attainment: ratio(attained.length, trace.requests.length),
		wrongAnswers: records.filter(record => !isRejection(record.result) && !record.isCorrect).length,
		admitted: admitted.length,
		late: ratio(late.length, admitted.length, 0),
		goodput: {
			requests: attained.length,
			tokens: attained.reduce((sum, record) => sum + record.request.max_tokens, 0),
		},
		teams: createTeamReports(input),
		rejections,
		...(fleet ? {fleet: {...fleet, falseNotRun: rejections.reduce((sum, entry) => sum + entry.falseNotRun, 0)}} : {}),
	};
	return {...base, outcomes: checkOutcomes(trace, base)};
}

function ratio(part: number, whole: number, empty = 1): number {
	return whole === 0 ? empty : part / whole;
}

/** True for a request that missed its deadline. Target failures are counted under their own reason, not as late. */
function isLate(record: RequestRecord): boolean {
	return record.latencyMs > record.request.deadline_ms || (isRejection(record.result) && record.result.reason === 'deadline');
}

function createTeamReports({trace, records, callerLatencyMs}: ReportInput): TeamReport[] {
	const teams = [...new Set(trace.requests.map(request => request.team))].sort((left, right) => left.localeCompare(right));
	return teams.map(team => {
		const teamRecords = records.filter(record => record.request.team === team);
		const answered = teamRecords.filter(record => !isRejection(record.result));
		const latencies = answered.map(record => record.latencyMs + (2 * callerLatencyMs));
		return {
			team,
			requests: teamRecords.length,
			attainment: ratio(teamRecords.filter(record => isAttained(record)).length, teamRecords.length),
			latencyP50: percentile(latencies, 0.5),
			latencyP95: percentile(latencies, 0.95),
			firstTokenP95: percentile(teamRecords.flatMap(record => record.firstTokenMs === undefined ? [] : [record.firstTokenMs + (2 * callerLatencyMs)]), 0.95),
			gapP95: percentile(teamRecords.flatMap(record => record.interTokenMs), 0.95),
		};
	});
}

function createRejectionMetrics({records, executions, declarations}: ReportInput): RejectionMetrics[] {
	const byKind = new Map<string, {outcome: string; reason: string; count: number; falseNotRun: number}>();
	for (const record of records) {
		if (!isRejection(record.result)) {
			continue;
		}

		const {outcome, reason} = record.result;
		const entry = byKind.get(`${outcome} ${reason}`) ?? {
			outcome, reason, count: 0, falseNotRun: 0,
		};
		entry.count++;
		const pipeline = declarations.pipeline(record.request.pipeline);
		const isNonIdempotent = pipeline?.stages.some(stage => !stage.idempotent) ?? false;
		entry.falseNotRun += executions && isFalseNotRun(record.result, executions.receivedCalls.get(record.request.id) ?? [], isNonIdempotent) ? 1 : 0;
		byKind.set(`${outcome} ${reason}`, entry);
	}

	return [...byKind.values()].sort((left, right) => right.count - left.count);
}

function isFalseNotRun(result: Rejection, calls: readonly ReceivedCall[], isNonIdempotent: boolean): boolean {
	return result.outcome === 'not_run' && calls.some(call => !isNonIdempotent || !call.isIdempotent);
}

function createFleetMetrics({trace, declarations}: ReportInput, executions: ExecutionRecorder, events: StageRecorder): Omit<FleetMetrics, 'falseNotRun'> {
	const stages = [...events.stages].map(([stage, times]): StageMetrics => {
		const totals = executions.stageTotals(stage);
		return {
			stage,
			completed: ratio(times.completed, times.reached),
			attempts: times.attempts,
			waitP50: percentile(times.waitsMs, 0.5),
			waitP95: percentile(times.waitsMs, 0.95),
			serviceP95: percentile(times.serviceTimesMs, 0.95),
			crossRegionBytes: totals.crossRegionBytes,
			bytesCost: totals.bytesCost,
			cost: totals.busyCost + totals.bytesCost,
		};
	});
	const saved = executions.promptTokens - executions.prefilledTokens;
	const bound = maxSavedPrefillTokens(executions.prompts, declarations, trace.header.cache_tokens);
	return {
		stages,
		waitP95: percentile([...events.stages.values()].flatMap(times => times.waitsMs), 0.95),
		crossRegionBytes: sum(stages.map(stage => stage.crossRegionBytes)),
		bytesCost: sum(stages.map(stage => stage.bytesCost)),
		cost: sum(stages.map(stage => stage.cost)),
		doubleRuns: [...executions.nonIdempotentRuns.values()].filter(runs => runs > 1).length,
		prefill: {
			tokens: executions.promptTokens, saved, bound, shareOfBound: ratio(saved, bound),
		},
	};
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

function checkOutcomes(trace: Trace, report: Omit<ReplayReport, 'outcomes'>): OutcomeCheck[] {
	const {outcomes} = trace.header;
	const checks: OutcomeCheck[] = Object.entries(outcomes.min_attainment).map(([team, minimum]) => {
		const seen = report.teams.find(entry => entry.team === team)?.attainment ?? 0;
		return {outcome: `attainment of ${team} at least ${minimum}`, seen: seen.toFixed(4), held: seen >= minimum};
	});
	checks.push({outcome: 'every answer is whole and correct', seen: `${report.wrongAnswers} wrong`, held: report.wrongAnswers === 0});
	if (outcomes.no_double_runs && report.fleet) {
		checks.push({outcome: 'never two runs per key', seen: `${report.fleet.doubleRuns} keys`, held: report.fleet.doubleRuns === 0});
	}

	if (outcomes.no_false_not_run && report.fleet) {
		checks.push({outcome: 'every not_run is true', seen: `${report.fleet.falseNotRun} false`, held: report.fleet.falseNotRun === 0});
	}

	if (outcomes.max_late !== undefined) {
		checks.push({outcome: `late among admitted at most ${outcomes.max_late}`, seen: report.late.toFixed(4), held: report.late <= outcomes.max_late});
	}

	return checks;
}
