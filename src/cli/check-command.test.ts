import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {afterAll, expect, it} from 'vitest';
import {checkCommand} from './check-command.js';
import {exitCodes} from './command.js';

const folder = mkdtempSync(path.join(tmpdir(), 'check-'));
const config = (version: number) => ({
	version, routes: [], services: [], limits: {'max-body-bytes': 1000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000},
});

afterAll(() => {
	rmSync(folder, {recursive: true});
});

function write(name: string, text: string): string {
	const file = path.join(folder, name);
	writeFileSync(file, text);
	return file;
}

async function run(args: readonly string[], flags: Record<string, string> = {}): Promise<{status: number; lines: string[]}> {
	const lines: string[] = [];
	const status = await checkCommand.run({
		args,
		flags: new Map(Object.entries(flags)),
		env: {},
		print(line) {
			lines.push(line);
		},
		stopRequested: Promise.resolve(),
	});
	return {status, lines};
}

// Guards against a check whose exit code lets a faulty record be sent.
it('exits with 0 without findings and with 1 with some, which it prints as text or JSON', async () => {
	const sound = write('sound.json', JSON.stringify(config(4)));
	const older = write('older.json', JSON.stringify(config(3), undefined, 2));
	expect(await run([sound])).toEqual({status: exitCodes.ok, lines: []});
	expect(await run([older], {against: sound})).toEqual({
		status: exitCodes.failed,
		lines: ['error version (line 2): Cannot take effect: version 3 is older than 4, which is in force', 'warning version (line 2): changed from 4 to 3'],
	});
	const {lines} = await run([older], {against: sound, json: 'true'});
	const {findings} = JSON.parse(lines.join('\n')) as {findings: unknown[]};
	expect(findings[0]).toMatchObject({
		severity: 'error', kind: 'invalid', path: 'version', line: 2,
	});
	expect(findings).toHaveLength(2);
});

it('takes a file that is missing or no JSON for wrong usage', async () => {
	const sound = write('sound.json', JSON.stringify(config(4)));
	const broken = write('broken.json', '{"version": 4');
	for (const [args, flags] of [[[], {}], [['missing.json'], {}], [[broken], {}], [[sound], {against: broken}]] as const) {
		await expect(run(args, flags)).rejects.toThrow('Cannot');
	}
});
