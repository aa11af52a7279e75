import {describe, expect, it} from 'vitest';
import {pickService} from './pick-service.js';
import type {RelayDeclarations, Route} from './relay-declarations.js';
import {RouteTable} from './route-table.js';

const route = (name: string, host: string, pathPrefix: string, fields: Partial<Route> = {}): Route => ({
	name, host, pathPrefix, kind: 'idempotent', timeoutMs: 1000, objectiveMs: 200, pauseObjectiveMs: undefined, priority: 0, services: [{service: 'desk', weight: 1}], maxAttempts: 2, stages: [], isPublic: false, isResumable: false, ...fields,
});

const declarations = (fields: Partial<RelayDeclarations>): RelayDeclarations => ({
	version: 7, routes: [], services: new Map(), limits: {maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000}, teams: [], ...fields,
});

describe('RouteTable', () => {
	const table = RouteTable.create(declarations({
		routes: [route('short', 'desk.example', '/orders/'), route('long', 'desk.example', '/orders/open/'), route('other', 'archive.example', '/')],
		teams: [{name: 'engravers', keys: ['k1', 'k2'], priority: 1}],
	}));

	it('selects the longest matching path prefix among the routes of the host', () => {
		expect(table.route('desk.example', '/orders/7')?.name).toBe('short');
		expect(table.route('desk.example', '/orders/open/7')?.name).toBe('long');
		expect(table.route('archive.example', '/orders/7')?.name).toBe('other');
	});

	it('ignores case and port of the host, and the query of the path', () => {
		expect(table.route('Desk.Example:8080', '/orders/open/?a=/orders/')?.name).toBe('long');
		expect(table.route('desk.example', '/?p=/orders/')).toBeUndefined();
	});

	it('does not match a prefix without its trailing slash', () => {
		expect(table.route('desk.example', '/orders')).toBeUndefined();
		expect(table.route('desk.example', '/ordersopen/')).toBeUndefined();
	});

	it('returns the team of a key', () => {
		expect(table.team('k2')?.name).toBe('engravers');
		expect(table.team('k3')).toBeUndefined();
		expect(table.team(undefined)).toBeUndefined();
	});
});

describe('pickService', () => {
	const split = {services: [{service: 'a', weight: 90}, {service: 'b', weight: 10}, {service: 'c', weight: 0}]};

	it('selects services in proportion to their weights', () => {
		expect(pickService(split, 0)).toBe('a');
		expect(pickService(split, 0.899)).toBe('a');
		expect(pickService(split, 0.901)).toBe('b');
		expect(pickService(split, 0.999_999_999)).toBe('b');
	});
});
