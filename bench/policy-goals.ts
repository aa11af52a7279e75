import type {DeploymentName, TraceName} from '../src/replay/index.js';
import type {PolicyOutcome} from './policy-worker.js';

/** Goal of the policy with the value measured in one deployment. */
export type Goal = {readonly deployment: string; readonly goal: string; readonly measured: string; readonly isMet: boolean};

/** Looks up the outcome of a trace under a policy. */
export type OutcomeLookup = (deployment: DeploymentName, trace: TraceName, policy: string) => PolicyOutcome | undefined;

const attainmentMargin = 0.01;
const minGoodputShare = 0.95;
const maxLateShare = 0.005;
const maxCrossRegionBytesShare = 0.5;
const minSavedPrefillShare = 0.8;
const maxStaleWaitRatio = 1.3;

/** Checks the goals of the first policy; the other policies are the baselines. Goals whose traces were not replayed are omitted. */
export function checkGoals(deployment: DeploymentName, traces: readonly TraceName[], policies: readonly string[], lookup: OutcomeLookup): Goal[] {
	const [policyUnderTest, ...baselines] = policies as [string, ...string[]];
	const goals: Goal[] = [];
	const add = (goal: string, measured: string, isMet: boolean) => {
		goals.push({
			deployment, goal, measured, isMet,
		});
	};

	const alone = smallTeamAttainment(lookup(deployment, 'alone', policyUnderTest));
	const burst = smallTeamAttainment(lookup(deployment, 'burst', policyUnderTest));
	if (alone !== undefined && burst !== undefined) {
		add('attainment of the small team during the burst within 1 point of alone', `${percent(burst)} to ${percent(alone)}`, burst >= alone - attainmentMargin);
	}

	for (const trace of traces) {
		const outcome = lookup(deployment, trace, policyUnderTest);
		if (!outcome) {
			continue;
		}

		const {report} = outcome;
		const best = Math.max(0, ...baselines.map(policy => lookup(deployment, trace, policy)?.report.goodput.tokens ?? 0));
		if (best > 0) {
			add(`${trace}: goodput at least 95 % of the best baseline`, percent(report.goodput.tokens / best), report.goodput.tokens >= best * minGoodputShare);
		}

		add(`${trace}: late among admitted under 0.5 %`, `${(report.late * 100).toFixed(2)} %`, report.late < maxLateShare);
		const baselineBytes = lookup(deployment, trace, 'fcfs+least')?.report.fleet!.crossRegionBytes;
		if (baselineBytes !== undefined) {
			const share = report.fleet!.crossRegionBytes / baselineBytes;
			add(`${trace}: cross-region bytes under half of least in flight`, percent(share), share < maxCrossRegionBytesShare);
		}

		const saved = report.fleet!.prefill.shareOfBound;
		add(`${trace}: prefill saved at least 80 % of the upper bound`, percent(saved), saved >= minSavedPrefillShare);
	}

	const freshWaitMs = lookup(deployment, 'fresh-load', policyUnderTest)?.report.fleet!.waitP95;
	const staleWaitMs = lookup(deployment, 'stale-load', policyUnderTest)?.report.fleet!.waitP95;
	if (freshWaitMs !== undefined && staleWaitMs !== undefined) {
		add('p95 wait with load reports delayed by 2 s at most 1.3 times that with fresh ones', `${Math.round(staleWaitMs)} ms to ${Math.round(freshWaitMs)} ms`, staleWaitMs <= freshWaitMs * maxStaleWaitRatio);
	}

	return goals;
}

/** Returns the attainment of the small team of a trace. */
function smallTeamAttainment(outcome: PolicyOutcome | undefined): number | undefined {
	return outcome?.report.teams.find(team => team.team === outcome.smallTeam)?.attainment;
}

function percent(value: number): string {
	return `${(value * 100).toFixed(1)} %`;
}
