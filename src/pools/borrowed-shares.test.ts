import {expect, test} from 'vitest';
import {BorrowedShares} from './borrowed-shares.js';

test('counts each owner once until its loan ends or is given back', () => {
	const shares = BorrowedShares.create({loanMs: 3000});
	shares.borrow('a', 0);
	shares.borrow('b', 1000);
	shares.borrow('a', 2000);
	shares.borrow('c', 2000);
	expect(shares.count(2000)).toBe(3);
	shares.giveBack('c');
	expect([3999, 4000, 4999, 5000].map(now => shares.count(now))).toEqual([2, 1, 1, 0]);
});

// Guards against a share that is used here although its owner has it back and lends it to another host.
test('refuses loans that are under way once it has been closed', () => {
	const shares = BorrowedShares.create({loanMs: 3000});
	shares.borrow('a', 0);
	shares.borrow('b', 0);
	expect(shares.close()).toEqual(['a', 'b']);
	shares.borrow('a', 10);
	expect(shares.count(10)).toBe(0);
	shares.open();
	shares.borrow('a', 20);
	expect(shares.count(20)).toBe(1);
});
