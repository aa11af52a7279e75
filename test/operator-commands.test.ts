import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {commands} from '../src/cli/main.js';
import {exitCodes} from '../src/cli/command.js';
import {Fleet, rpc} from './support/fleet.js';

let fleet: Fleet;
let folder: string;

beforeAll(async () => {
	fleet = await Fleet.start();
	await fleet.startEntryVm('vm-1', 'riga-a');
	folder = await mkdtemp(path.join(tmpdir(), 'guavamill-'));
});

afterAll(async () => {
	await fleet.close();
	await rm(folder, {recursive: true});
});

/** Runs a command of the CLI in this process, against the entry VM. */
async function run(name: string, args: string[], flags: Record<string, string> = {}): Promise<{code: number; lines: string[]}> {
	const lines: string[] = [];
	const code = await commands.find(command => command.name === name)!.run({
		args,
		flags: new Map(Object.entries({vm: `http://127.0.0.1:${fleet.entryVms[0]!.ports.operators}`, ...flags})),
		env: {},
		print(line) {
			lines.push(line);
		},
		stopRequested: Promise.resolve(),
	});
	return {code, lines};
}

// Guards against a command whose exit code or output does not match the result of the operation.
test('apply, plan and get work on both examples, with exit codes', async () => {
	const dieWorks = path.resolve(import.meta.dirname, '../examples/die-works');
	expect((await run('plan', [dieWorks])).lines.at(-1)).toMatch(/^\d+ steps on revision -1$/);
	expect(await run('apply', [dieWorks], {author: 'liga'})).toEqual({code: exitCodes.ok, lines: ['Accepted as revision 0.']});
	expect((await run('apply', [dieWorks])).lines).toEqual(['No change: revision 0 holds these declarations.']);
	expect((await run('apply', [dieWorks.replace('die-works', 'fundacion')], {prune: 'true'})).lines).toEqual(['Accepted as revision 1.']);
	expect(await run('apply', [dieWorks], {base: '0'})).toEqual({code: exitCodes.failed, lines: ['Conflict: revision 1 is in force. Plan again and apply on it.']});
	const {code, lines} = await run('get', ['team/guild', 'team/nobody'], {json: 'true'});
	expect(code).toBe(exitCodes.failed);
	expect(JSON.parse(lines[0]!)).toMatchObject({revision: '1', declarations: [{name: 'guild'}], missing: ['team/nobody']});
});

// Guards against applying a change from a file that has errors.
test('files with errors are reported with their lines and not applied', async () => {
	const file = path.join(folder, 'team.yaml');
	await writeFile(file, 'kind: team\nname: late\nweight: 0\n');
	const {code, lines} = await run('apply', [file]);
	expect(code).toBe(exitCodes.failed);
	expect(lines).toEqual([
		`error: ${file}:3 team/late weight: Too small: expected number to be >0`,
		`error: ${file}:1 team/late deadline_ms: Invalid input: expected number, received undefined`,
	]);
	await writeFile(file, '{kind: target, name: t-1, zone: nowhere, pool: nothing, address: "http://127.0.0.1:7999"}');
	expect((await run('apply', [file])).lines[0]).toBe('Invalid:');
	await expect(run('apply', ['missing.yaml'])).rejects.toThrow('missing.yaml');
	await expect(run('apply', [file], {base: 'x'})).rejects.toThrow('is not a revision');
});

// Guards against draining a target without a start id or with the wrong one.
test('drain marks one start id of a target as draining and status counts it', async () => {
	await expect(run('drain', ['guild-engines-1'])).rejects.toThrow('start id is not known');
	expect((await run('drain', ['guild-engines-1'], {'start-id': 's1', author: 'liga'})).lines).toEqual(['guild-engines-1 is draining (s1).']);
	await expect(run('drain', ['guild-engines-1'], {'start-id': 's2'})).rejects.toThrow('its start id is s1, not s2');
	await expect(run('drain', [], {})).rejects.toThrow('either one target or --self');
	expect((await run('status', [])).lines.join('\n')).toMatch(/revision 1, .*following[\s\S]*1 draining/);
	const {events} = await rpc(fleet.entryVms[0]!, 'Trace', {target: 'guild-engines-1'});
	expect(events.map((event: {kind: string; detail: string}) => [event.kind, event.detail])).toEqual([['target_draining', 's1 by operator liga']]);
});
