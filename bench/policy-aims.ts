import type {DeploymentName, TraceName} from '../src/replay/index.js';
import type {PolicyOutcome} from './policy-worker.js';

/** An aim of the policy with the figure of one deployment. */
export type Aim = {readonly deployment: string; readonly aim: string; readonly seen: string; readonly held: boolean};

/** Looks up the outcome of a trace under a policy. */
export type Lookup = (deployment: DeploymentName, trace: TraceName, policy: string) => PolicyOutcome | undefined;

const attainmentMargin = 0.01;
const minGoodputShare = 0.95;
const maxLate = 0.005;
const maxBytesShare = 0.5;
const minPrefillShare = 0.8;
const maxStaleWait = 1.3;

/** Compares the policy with its aims; those whose traces were not replayed are left out. */
export function checkAims(deployment: DeploymentName, traces: readonly TraceName[], policies: readonly string[], lookup: Lookup): Aim[] {
	const [own, ...baselines] = policies as [string, ...string[]];
	const aims: Aim[] = [];
	const add = (aim: string, seen: string, held: boolean) => {
		aims.push({
			deployment, aim, seen, held,
		});
	};

	const alone = attainmentOfSmall(lookup(deployment, 'alone', own));
	const burst = attainmentOfSmall(lookup(deployment, 'burst', own));
	if (alone !== undefined && burst !== undefined) {
		add('attainment of the small team during the burst within 1 point of alone', `${percent(burst)} to ${percent(alone)}`, burst >= alone - attainmentMargin);
	}

	for (const trace of traces) {
		const outcome = lookup(deployment, trace, own);
		if (!outcome) {
			continue;
		}

		const {report} = outcome;
		const best = Math.max(0, ...baselines.map(policy => lookup(deployment, trace, policy)?.report.goodput.tokens ?? 0));
		if (best > 0) {
			add(`${trace}: goodput at least 95 % of the best baseline`, percent(report.goodput.tokens / best), report.goodput.tokens >= best * minGoodputShare);
		}

		add(`${trace}: late among admitted under 0.5 %`, `${(report.late * 100).toFixed(2)} %`, report.late < maxLate);
		const baseBytes = lookup(deployment, trace, 'fcfs+least')?.report.fleet!.crossRegionBytes;
		if (baseBytes !== undefined) {
			const share = report.fleet!.crossRegionBytes / baseBytes;
			add(`${trace}: cross-region bytes under half of least in flight`, percent(share), share < maxBytesShare);
		}

		const saved = report.fleet!.prefill.shareOfBound;
		add(`${trace}: prefill saved at least 80 % of an all-knowing router`, percent(saved), saved >= minPrefillShare);
	}

	const fresh = lookup(deployment, 'fresh-load', own)?.report.fleet!.waitP95;
	const stale = lookup(deployment, 'stale-load', own)?.report.fleet!.waitP95;
	if (fresh !== undefined && stale !== undefined) {
		add('p95 wait with load reports 2 s late at most 1.3 times that with fresh ones', `${Math.round(stale)} ms to ${Math.round(fresh)} ms`, stale <= fresh * maxStaleWait);
	}

	return aims;
}

function attainmentOfSmall(outcome: PolicyOutcome | undefined): number | undefined {
	return outcome?.report.teams.find(team => team.team === outcome.small)?.attainment;
}

function percent(value: number): string {
	return `${(value * 100).toFixed(1)} %`;
}
