// `npm run bench:stage-loads -- [seeds]`: simulates loads on the stage pools and on a baseline in one process, without
// network, and prints the results of the requests.
import process from 'node:process';
import {simulateStageLoad} from '../test/support/stage-load.js';
import {stageLoads} from '../test/support/stage-loads.js';

const seeds = process.argv.slice(2).map(Number);
for (const [name, load] of Object.entries(stageLoads)) {
	for (const seed of seeds.length === 0 ? [1, 2] : seeds) {
		for (const runner of ['pools', 'baseline'] as const) {
			const {kinds, worth, owed, wastedPieces, pieces, crossZoneMb} = await simulateStageLoad({...load, seed}, {runner});
			console.log(`${name} seed ${seed} ${runner}: value obtained ${(worth / owed).toFixed(3)}, pieces ${pieces}, wasted ${wastedPieces}, cross-zone ${crossZoneMb.toFixed(0)} MB`);
			for (const [kind, result] of kinds) {
				console.log(`  ${kind}: requests ${result.requests}, on time ${result.onTime}, late ${result.late}, late by under 300 ms ${result.nearlyOnTime}, refused ${result.rejected} after ${Math.round(result.rejectionMs / Math.max(1, result.rejected))} ms on average`);
			}
		}
	}
}
