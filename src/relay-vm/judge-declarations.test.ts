import {expect, it} from 'vitest';
import type {RelayDeclarations} from '../routes/index.js';
import {judgeDeclarations} from './judge-declarations.js';

const declarations = (version: number, maxBodyBytes = 1000): RelayDeclarations => ({
	version, routes: [], services: new Map(), limits: {maxBodyBytes, headerTimeoutMs: 1000, idleTimeoutMs: 1000}, teams: [],
});

it('applies the first configuration and any newer version', () => {
	expect([judgeDeclarations(undefined, declarations(1)), judgeDeclarations(declarations(1), declarations(4))]).toEqual(['apply', 'apply']);
});

// Guards against a configuration that goes back to an older one when the store comes back from an older copy.
it('never goes back to an older version', () => {
	expect(judgeDeclarations(declarations(4), declarations(1))).toBe('older');
});

// Guards against entry VMs that differ for good: after a restore the operator has given a version another content.
it('applies the content that was read last for the same version, unless it is equal', () => {
	expect([judgeDeclarations(declarations(4), declarations(4)), judgeDeclarations(declarations(4), declarations(4, 2000))]).toEqual(['same', 'apply']);
});
