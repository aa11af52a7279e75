import type {Ms} from '../clock/index.js';
import type {DeclarationSet} from '../config/index.js';
import {isRejection, type Rejection} from '../requests/index.js';
import {percentile} from './percentile.js';
import {prefillBound} from './max-saved-prefill-tokens.js';
import {isAttained, type RequestRecord} from './request-record.js';
import type {RunLedger, SeenCall} from './execution-recorder.js';
import type {StageRecorder} from './stage-recorder.js';
import type {Trace} from './trace.js';

/** Figures of one team. Times in ms, as the caller sees them. */
export interface TeamReport {
	readonly team: string;
	readonly requests: number;
	/** Share of requests answered whole within their deadline. */
	readonly attainment: number;
	readonly latencyP50: Ms;
	readonly latencyP95: Ms;
	readonly firstTokenP95: Ms;
	readonly gapP95: Ms;
}

/** Figures of one stage over all teams. Money in the unit of the declarations. */
export interface StageFigures {
	readonly stage: string;
	/** Share of the requests that reached the stage and completed it. */
	readonly completed: number;
	readonly attempts: number;
	/** Waits last from the queue of the entry VM until the target starts on the call. */
	readonly waitP50: Ms;
	readonly waitP95: Ms;
	readonly serviceP95: Ms;
	readonly crossRegionBytes: number;
	readonly bytesCost: number;
	/** Cost of busy targets and of transferred bytes. */
	readonly cost: number;
}

/** Rejections of one kind. `falseNotRun` counts those that the fakes' runs contradict. */
export interface RejectionFigures {
	readonly outcome: string;
	readonly reason: string;
	readonly count: number;
	readonly falseNotRun: number;
}

/** A stated outcome of the trace and whether it held. */
export interface OutcomeCheck {
	readonly outcome: string;
	readonly seen: string;
	readonly held: boolean;
}

/** Figures that only fakes in virtual time can tell. */
export interface FleetFigures {
	readonly stages: readonly StageFigures[];
	readonly waitP95: Ms;
	readonly crossRegionBytes: number;
	readonly bytesCost: number;
	readonly cost: number;
	readonly doubleRuns: number;
	readonly falseNotRun: number;
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
	/** Requests and generated tokens answered in time. */
	readonly goodput: {readonly requests: number; readonly tokens: number};
	readonly teams: readonly TeamReport[];
	readonly rejections: readonly RejectionFigures[];
	/** Absent when the trace was replayed against running entry VMs. */
	readonly fleet?: FleetFigures;
	readonly outcomes: readonly OutcomeCheck[];
}

/** What a report is made from. */
export interface ReportInput {
	readonly trace: Trace;
	readonly policy: string;
	readonly records: readonly RequestRecord[];
	readonly declarations: DeclarationSet;
	readonly clientMs: Ms;
	readonly events?: StageRecorder;
	readonly ledger?: RunLedger;
}

/** Computes the report of a replay. @internal */
export function createReport(input: ReportInput): ReplayReport {
	const {trace, records} = input;
	const attained = records.filter(record => isAttained(record));
	const admitted = records.filter(record => record.isAdmitted);
	const late = admitted.filter(record => isLate(record));
	const rejections = rejectionFigures(input);
	const fleet = input.ledger && input.events ? fleetFigures(input, input.ledger, input.events) : undefined;
	const base = {
		trace: trace.header.name,
		deployment: trace.header.deployment,
		seed: trace.header.seed,
		policy: input.policy,
		requests: trace.requests.length,
		attainment: share(attained.length, trace.requests.length),
		wrongAnswers: records.filter(record => !isRejection(record.result) && !record.isCorrect).length,
		admitted: admitted.length,
		late: share(late.length, admitted.length, 0),
		goodput: {
			requests: attained.length,
			tokens: attained.reduce((sum, record) => sum + record.request.max_tokens, 0),
		},
		teams: teamReports(input),
		rejections,
		...(fleet ? {fleet: {...fleet, falseNotRun: rejections.reduce((sum, entry) => sum + entry.falseNotRun, 0)}} : {}),
	};
	return {...base, outcomes: checkOutcomes(trace, base)};
}

function share(part: number, whole: number, empty = 1): number {
	return whole === 0 ? empty : part / whole;
}

/** True for an admitted request whose time ran out; failures of targets are counted under their own reason. */
function isLate(record: RequestRecord): boolean {
	return record.tookMs > record.request.deadline_ms || (isRejection(record.result) && record.result.reason === 'deadline');
}

function teamReports({trace, records, clientMs}: ReportInput): TeamReport[] {
	const teams = [...new Set(trace.requests.map(request => request.team))].sort((left, right) => left.localeCompare(right));
	return teams.map(team => {
		const own = records.filter(record => record.request.team === team);
		const answered = own.filter(record => !isRejection(record.result));
		const latencies = answered.map(record => record.tookMs + (2 * clientMs));
		return {
			team,
			requests: own.length,
			attainment: share(own.filter(record => isAttained(record)).length, own.length),
			latencyP50: percentile(latencies, 0.5),
			latencyP95: percentile(latencies, 0.95),
			firstTokenP95: percentile(own.flatMap(record => record.firstTokenMs === undefined ? [] : [record.firstTokenMs + (2 * clientMs)]), 0.95),
			gapP95: percentile(own.flatMap(record => record.gapsMs), 0.95),
		};
	});
}

function rejectionFigures({records, ledger, declarations}: ReportInput): RejectionFigures[] {
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
		const isBooking = pipeline?.stages.some(stage => !stage.idempotent) ?? false;
		entry.falseNotRun += ledger && isFalseNotRun(record.result, ledger.arrivals.get(record.request.id) ?? [], isBooking) ? 1 : 0;
		byKind.set(`${outcome} ${reason}`, entry);
	}

	return [...byKind.values()].sort((left, right) => right.count - left.count);
}

function isFalseNotRun(result: Rejection, calls: readonly SeenCall[], isBooking: boolean): boolean {
	return result.outcome === 'not_run' && calls.some(call => !isBooking || !call.isIdempotent);
}

function fleetFigures({trace, declarations}: ReportInput, ledger: RunLedger, events: StageRecorder): Omit<FleetFigures, 'falseNotRun'> {
	const stages = [...events.stages].map(([stage, times]): StageFigures => {
		const sums = ledger.stage(stage);
		return {
			stage,
			completed: share(times.done, times.reached),
			attempts: times.attempts,
			waitP50: percentile(times.waits, 0.5),
			waitP95: percentile(times.waits, 0.95),
			serviceP95: percentile(times.services, 0.95),
			crossRegionBytes: sums.crossRegionBytes,
			bytesCost: sums.bytesCost,
			cost: sums.busyCost + sums.bytesCost,
		};
	});
	const saved = ledger.promptTokens - ledger.prefilledTokens;
	const bound = prefillBound(ledger.prompts, declarations, trace.header.cache_tokens);
	return {
		stages,
		waitP95: percentile([...events.stages.values()].flatMap(times => times.waits), 0.95),
		crossRegionBytes: sum(stages.map(stage => stage.crossRegionBytes)),
		bytesCost: sum(stages.map(stage => stage.bytesCost)),
		cost: sum(stages.map(stage => stage.cost)),
		doubleRuns: [...ledger.bookings.values()].filter(runs => runs > 1).length,
		prefill: {
			tokens: ledger.promptTokens, saved, bound, shareOfBound: share(saved, bound),
		},
	};
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

function checkOutcomes(trace: Trace, report: Omit<ReplayReport, 'outcomes'>): OutcomeCheck[] {
	const {outcomes} = trace.header;
	const checks: OutcomeCheck[] = Object.entries(outcomes.min_attainment).map(([team, least]) => {
		const seen = report.teams.find(entry => entry.team === team)?.attainment ?? 0;
		return {outcome: `attainment of ${team} at least ${least}`, seen: seen.toFixed(4), held: seen >= least};
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
