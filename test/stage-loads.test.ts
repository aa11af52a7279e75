import {describe, expect, it} from 'vitest';
import {simulateStageLoad, type StageLoadResult} from './support/stage-load.js';
import {stageLoads} from './support/stage-loads.js';

const served = (result: StageLoadResult, kind: string) => {
	const {requests, onTime, late} = result.kinds.get(kind)!;
	return (onTime + late) / requests;
};

describe('stage pools under load', () => {
	for (const [name, load] of Object.entries(stageLoads)) {
		// Guards against pools that do worse than round robin when requests exceed the capacity of the stage targets, for some
		// seconds or throughout the load.
		it(`serves more value than round robin and prefers more valuable requests: ${name}`, async () => {
			const pools = await simulateStageLoad(load);
			const baseline = await simulateStageLoad(load, {runner: 'baseline'});
			expect(pools.worth).toBeGreaterThan(baseline.worth);
			// The requirement tolerates 5 percentage points between kinds on the same service, where the less urgent kind needs
			// fewer stages.
			expect(served(pools, 'appraisal')).toBeGreaterThan(served(pools, 'question') - 0.05);
			expect(pools.wastedPieces / pools.pieces).toBeLessThan(baseline.wastedPieces / baseline.pieces);
		});
	}
});
