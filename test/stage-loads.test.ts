import {describe, expect, it} from 'vitest';
import {playStageLoad, type StageLoadResult} from './support/stage-load.js';
import {stageLoads} from './support/stage-loads.js';

const served = (result: StageLoadResult, kind: string) => {
	const {asked, onTime, late} = result.kinds.get(kind)!;
	return (onTime + late) / asked;
};

describe('stage pools under load', () => {
	for (const [name, load] of Object.entries(stageLoads)) {
		// Pattern: requests above what the stage targets can do, for some seconds or all the time.
		it(`serves more than round robin and serves important kinds first: ${name}`, async () => {
			const pools = await playStageLoad(load);
			const baseline = await playStageLoad(load, {runner: 'baseline'});
			expect(pools.worth).toBeGreaterThan(baseline.worth);
			// Tolerance of the users' rule on kinds of one service, of which less urgent ones need fewer stages.
			expect(served(pools, 'appraisal')).toBeGreaterThan(served(pools, 'question') - 0.05);
			expect(pools.wastedPieces / pools.pieces).toBeLessThan(baseline.wastedPieces / baseline.pieces);
		});
	}
});
