import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	afterAll, afterEach, beforeAll, expect, test, vi,
} from 'vitest';
import {exitCodes} from './command.js';
import {main} from './main.js';

let folder: string;
let server: Server;
let origin: string;
let dropsApplyConnections = false;

beforeAll(async () => {
	folder = await mkdtemp(path.join(tmpdir(), 'guavamill-'));
	await writeFile(path.join(folder, 'empty.yaml'), '# nothing\n');
	await writeFile(path.join(folder, 'broken.yaml'), 'kind: team\nname: late\nweight: 0\ndeadline_ms: 9\n');
	await writeFile(path.join(folder, 'team.yaml'), 'kind: team\nname: late\nweight: 1\ndeadline_ms: 9\n');
	server = createServer((req, res) => {
		if (req.url?.endsWith('/Apply') && dropsApplyConnections) {
			res.destroy();
		} else if (req.url?.endsWith('/Plan')) {
			res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({revision: '3', steps: [{action: 'ACTION_CREATE', key: 'team/late'}]}));
		} else {
			res.writeHead(404, {'content-type': 'application/json'}).end('{}');
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterAll(async () => {
	server.close();
	await rm(folder, {recursive: true});
});

afterEach(() => {
	vi.restoreAllMocks();
	process.exitCode = 0;
});

/** Runs the program in this process and returns its exit code and output. */
async function run(...argv: string[]) {
	const out = vi.spyOn(process.stdout, 'write').mockReturnValue(true);
	const err = vi.spyOn(process.stderr, 'write').mockReturnValue(true);
	await main(argv);
	const text = (spy: typeof out) => spy.mock.calls.map(([chunk]) => String(chunk)).join('');
	return {code: process.exitCode, out: text(out), err: text(err)};
}

// Guards against mistyped arguments that are silently ignored.
test.each(['status', 'trace', 'trace-make', 'sample', 'serve'])('%s rejects arguments', async name => {
	expect(await run(name, 'extra')).toMatchObject({code: exitCodes.usage, err: expect.stringContaining('too many, the maximum is 0 (got extra)') as string});
});

// Guards against removing the whole configuration when `apply --prune` is run on files without declarations.
test('files without a declaration are a usage error', async () => {
	const file = path.join(folder, 'empty.yaml');
	expect(await run('apply', file, '--prune', '--vm', origin)).toMatchObject({code: exitCodes.usage, err: `Cannot read declarations: 1 finding\n  ${file}: contains no declaration\n`});
});

// Guards against plain text in output that scripts parse as JSON.
test('findings in files are printed as JSON with --json', async () => {
	const file = path.join(folder, 'broken.yaml');
	for (const name of ['plan', 'apply']) {
		const {code, out} = await run(name, file, '--json', '--vm', origin);
		vi.restoreAllMocks();
		expect(code).toBe(exitCodes.failed);
		expect(JSON.stringify(JSON.parse(out))).toContain(`${file}:3`);
	}
});

// Guards against a connection error that does not name the entry VM.
test('an error message names an entry VM that cannot be called', async () => {
	expect(await run('status', '--vm', 'http://127.0.0.1:9')).toMatchObject({code: exitCodes.failed, err: 'Cannot reach the entry VM at http://127.0.0.1:9: connect ECONNREFUSED 127.0.0.1:9\n'});
	vi.restoreAllMocks();
	expect(await run('status', '--vm', origin)).toMatchObject({code: exitCodes.failed, err: `Cannot call the entry VM at ${origin}: it does not serve the operator service of this version\n`});
});

// Guards against a change that cannot be settled after its response is lost, because its random id was not printed.
test('apply prints the change id when there is no response', async () => {
	dropsApplyConnections = true;
	expect(await run('apply', path.join(folder, 'team.yaml'), '--vm', origin)).toMatchObject({
		code: exitCodes.failed, out: expect.stringMatching(/Settle it with the same files and --change-id [\da-f-]{36} --base 3\.\n$/) as string,
	});
});
