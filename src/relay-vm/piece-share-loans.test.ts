import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import type {Link, LinkMessage} from '../links/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {shareRenewalMs} from '../pools/index.js';
import {PieceShareLoans} from './piece-share-loans.js';

function createFleet({isReady = true, reserved = 0} = {}) {
	const clock = ManualClock.create();
	const sent: Array<{to: string; message: LinkMessage}> = [];
	const lent: string[] = [];
	const linkTo = (incarnation: string): Link => {
		const link: unknown = {
			peer: {incarnation},
			send(message: LinkMessage) {
				sent.push({to: incarnation, message});
				return true;
			},
		};
		return link as Link;
	};

	const links = [linkTo('a'), linkTo('b')];
	const fleet = {
		clock, sent, lent, isReady, reserved, leader: undefined as Link | undefined, links, spent: 0.5, isLent: true,
	};
	const loans = PieceShareLoans.create({
		clock,
		logger: silentLoggerFactory('pools'),
		self: {incarnation: 'self'},
		mesh: () => ({leader: () => fleet.leader, links: () => links}),
		budgets: {
			lend(to) {
				lent.push(to);
				return fleet.isLent;
			},
			spentOfShare: () => fleet.spent,
			returnLoans: () => ({owners: ['b'], spent: 0.25}),
		},
		host: {
			retryBudgets: () => [{
				service: 'draft', state: {
					requests: 0, retries: 0, allowed: 0, slack: 0, reserved: fleet.reserved,
				},
			}],
		},
		isReady: () => fleet.isReady,
	});
	return {...fleet, fleet, loans};
}

// Guards against shares that end because their loan is not renewed, and against a new host that waits for a whole interval.
test('the share is lent again before its loan ends, and after 100 ms to a host that could not have it yet', async () => {
	const {clock, fleet, loans, lent, sent, links} = createFleet();
	loans.start();
	expect(lent).toEqual(['self']);
	expect(sent).toEqual([]);
	[fleet.leader] = links;
	fleet.isLent = false;
	await clock.advance(shareRenewalMs);
	expect(lent).toEqual(['self', 'a']);
	expect(sent).toEqual([]);
	fleet.isLent = true;
	await clock.advance(100);
	expect(sent).toEqual([{to: 'a', message: {type: 'share-loan', spent: 0.5}}]);
	loans.close();
	await clock.advance(10_000);
	expect(sent).toHaveLength(1);
});

// Guards against shares that are used twice: by the next host, and for retries that this one is still to send.
test('shares are returned to their owners only with a next host and without reserved retries', () => {
	const {fleet, loans, sent, links} = createFleet({reserved: 1});
	expect(loans.returnShares()).toBe(false);
	[fleet.leader] = links;
	expect(loans.returnShares()).toBe(false);
	fleet.reserved = 0;
	fleet.leader = undefined;
	expect(loans.returnShares()).toBe(false);
	expect(sent).toEqual([]);
	[fleet.leader] = links;
	expect(loans.returnShares()).toBe(true);
	expect(sent).toEqual([{to: 'b', message: {type: 'share-return', spent: 0.25}}]);
});

// Guards against loans to a host that is not the one of the pools.
test('nothing is lent while the host is unknown', async () => {
	const {clock, fleet, loans, lent} = createFleet({isReady: false});
	loans.start();
	await clock.advance(1000);
	expect(lent).toEqual([]);
	fleet.isReady = true;
	await clock.advance(100);
	expect(lent).toEqual(['self']);
	loans.close();
});
