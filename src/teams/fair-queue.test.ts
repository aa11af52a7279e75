import fc from 'fast-check';
import {expect, test} from 'vitest';
import {FairQueue} from './fair-queue.js';

const maxWork = 100;

// Guards against unfair service: while all teams are backlogged, the service per weight of any two teams differs by at
// most one maximal item of each.
test('service is proportional to weight within one maximal item per team', () => {
	const teams = fc.array(fc.record({weight: fc.integer({min: 1, max: 10}), works: fc.array(fc.integer({min: 1, max: maxWork}), {minLength: 1, maxLength: 30})}), {minLength: 2, maxLength: 6});
	fc.assert(fc.property(teams, fc.integer({min: 1, max: 200}), (teams, steps) => {
		const queue = FairQueue.create<number>({capacityPerTeam: 1000});
		for (const [team, {weight, works}] of teams.entries()) {
			for (let step = 0; step < steps; step++) {
				queue.push(`team-${team}`, works[step % works.length]!, {weight, order: step});
			}
		}

		const served = teams.map(() => 0);
		let excess = Number.NEGATIVE_INFINITY;
		for (let step = 0; step < steps; step++) {
			const next = queue.next()!;
			served[Number(next.team.slice(5))]! += next.item;
			queue.take(next.team, next.item, next.item);
			for (const [one, {weight: oneWeight}] of teams.entries()) {
				for (const [two, {weight: twoWeight}] of teams.entries()) {
					const difference = Math.abs((served[one]! / oneWeight) - (served[two]! / twoWeight));
					excess = Math.max(excess, difference - (maxWork / oneWeight) - (maxWork / twoWeight));
				}
			}
		}

		// Tolerance for rounding errors in the sums of fractions.
		expect(excess).toBeLessThanOrEqual(1e-9);
	}), {seed: 11, numRuns: 200});
});

// Guards against a team that waits behind the entire backlog of another, and against credit accumulated while idle.
test('a team that becomes active is served next and then receives only its share', () => {
	const queue = FairQueue.create<string>({capacityPerTeam: 1000});
	const serve = () => {
		const {team, item} = queue.next()!;
		queue.take(team, item, 10);
		return team;
	};

	queue.push('small', 'long', {weight: 1});
	serve();
	for (let index = 0; index < 100; index++) {
		queue.push('large', `large-${index}`, {weight: 1});
	}

	for (let index = 0; index < 50; index++) {
		serve();
	}

	for (let index = 0; index < 20; index++) {
		queue.push('small', `small-${index}`, {weight: 1});
	}

	const order = Array.from({length: 20}, () => serve());
	expect(order[0]).toBe('small');
	expect(order.filter(team => team === 'small')).toHaveLength(10);
});

// Guards against charging a team for estimated instead of actual work.
test('a team that used more work than estimated is served later', () => {
	const queue = FairQueue.create<string>({capacityPerTeam: 10});
	for (const team of ['one', 'two']) {
		for (const item of ['a', 'b', 'c']) {
			queue.push(team, `${team}-${item}`, {weight: 1});
		}
	}

	queue.take('one', 'one-a', 10);
	queue.complete('one', 15);
	queue.take('two', 'two-a', 10);
	queue.complete('two', 0);
	expect(queue.next()).toEqual({team: 'two', item: 'two-b'});
	queue.take('two', 'two-b', 10);
	expect(queue.next()?.team).toBe('two');
});

// Guards against unbounded memory use, and against retries that queue behind requests with later deadlines.
test('a team\'s queue is bounded and sorted by order', () => {
	const queue = FairQueue.create<string>({capacityPerTeam: 2});
	expect(queue.push('team', 'late', {weight: 1, order: 2})).toBe(true);
	expect(queue.push('team', 'early', {weight: 1, order: 1})).toBe(true);
	expect(queue.push('team', 'other', {weight: 1, order: 3})).toBe(false);
	expect(queue.next()?.item).toBe('early');
	expect(queue.remove('team', 'early')).toBe(true);
	expect(queue.remove('team', 'early')).toBe(false);
	expect(queue.next()?.item).toBe('late');
});

// Guards against a memory leak of idle teams.
test('idle teams are removed once virtual time reaches their start tag', () => {
	const queue = FairQueue.create<string>({capacityPerTeam: 2});
	for (let index = 0; index < 100; index++) {
		queue.push(`team-${index}`, 'item', {weight: 1});
		queue.take(`team-${index}`, 'item', 0);
		queue.complete(`team-${index}`, 0);
	}

	expect(queue.teams).toBe(0);
});
