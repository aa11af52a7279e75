import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {expect, test} from 'vitest';
import {DeclarationSet} from './declaration-set.js';
import {loadDeclarations} from './load-declarations.js';

const examples = path.resolve(import.meta.dirname, '../../examples');

// Guards against an example that Apply would reject or warn about, and against one whose size differs from the deployment's.
test.each([
	['die-works', {
		engraving: 8, 'order-engines': 3, 'die-archive': 4, 'press-scheduling': 4, 'assay-records': 4,
	}, ['strike-booking']],
	['fundacion', {
		'guild-engines': 13, 'commission-engines': 3, 'hardwood-ledger': 4, 'mentor-scheduling': 4, shipping: 4,
	}, ['commission-order', 'stipend-payment']],
])('the example %s loads without findings', async (folder, sizes, nonIdempotentPipelines) => {
	const names = await readdir(path.join(examples, folder));
	const files = await Promise.all(names.map(async name => ({file: name, text: await readFile(path.join(examples, folder, name), 'utf8')})));
	const {declarations, findings} = loadDeclarations(files);
	expect(findings).toEqual([]);
	const set = DeclarationSet.create(declarations);
	expect(Object.fromEntries(Object.keys(sizes).map(pool => [pool, set.poolTargets(pool).length]))).toEqual(sizes);
	expect(set.teams()).toHaveLength(5);
	expect(set.pipelines().filter(pipeline => pipeline.stages.length < 3 || pipeline.stages.length > 6)).toEqual([]);
	expect(set.pipelines().filter(pipeline => pipeline.stages.some(stage => !stage.idempotent)).map(pipeline => pipeline.name)).toEqual(nonIdempotentPipelines);
});
