// Plays loads on the stage pools and on a baseline, without processes or network, and prints what callers get.
import process from 'node:process';
import {playStageLoad} from '../test/support/stage-load.js';
import {stageLoads} from '../test/support/stage-loads.js';

const seeds = process.argv.slice(2).map(Number);
for (const [name, load] of Object.entries(stageLoads)) {
	for (const seed of seeds.length === 0 ? [1, 2] : seeds) {
		for (const runner of ['pools', 'baseline'] as const) {
			const {kinds, worth, owed, wastedPieces, pieces, crossZoneMb} = await playStageLoad({...load, seed}, {runner});
			console.log(`${name} seed ${seed} ${runner}: worth ${(worth / owed).toFixed(3)}, pieces ${pieces}, wasted ${wastedPieces}, across zones ${crossZoneMb.toFixed(0)} MB`);
			for (const [kind, each] of kinds) {
				console.log(`  ${kind}: asked ${each.asked}, on time ${each.onTime}, late ${each.late}, nearly ${each.nearlyOnTime}, refused ${each.refused} after ${Math.round(each.heldMs / Math.max(1, each.refused))} ms`);
			}
		}
	}
}
