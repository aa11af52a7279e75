import {expect, test} from 'vitest';
import {TargetWatchers} from './target-watchers.js';

const names = Array.from({length: 12}, (_, index) => `vm-${index}`);

function watchersOf(target: string, members: readonly string[]): string[] {
	return members.filter(name => TargetWatchers.create(name).isWatcher(target, members.filter(other => other !== name)));
}

// Guards against targets that no entry VM probes, and against probes that grow with the number of entry VMs.
test('three entry VMs watch each target, also after one is gone', () => {
	for (let index = 0; index < 50; index++) {
		const before = watchersOf(`engine-${index}`, names);
		expect(before).toHaveLength(3);
		const after = watchersOf(`engine-${index}`, names.filter(name => name !== before[0]));
		expect(after).toHaveLength(3);
		expect(after).toEqual(expect.arrayContaining(before.slice(1)));
	}
});

// Guards against using cached decisions after the peers have changed.
test('an entry VM that loses its peers watches every target', () => {
	const watchers = TargetWatchers.create('vm-0');
	const targets = Array.from({length: 40}, (_, index) => `engine-${index}`);
	expect(targets.every(target => watchers.isWatcher(target, names.slice(1)))).toBe(false);
	expect(targets.every(target => watchers.isWatcher(target, names.slice(1, 3)))).toBe(true);
});
