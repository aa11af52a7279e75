import {readFileSync} from 'node:fs';
import path from 'node:path';
import {expect, test} from 'vitest';
import type {z} from 'zod';
import {SystemClock} from '../clock/index.js';
import {declarationSchema, stageSchema} from '../config/declarations.js';
import {EntryVm} from '../entry-vm/index.js';
import {eventKinds} from '../events/index.js';
import {OperatorService} from '../gen/guavamill/v1/operator_pb.js';
import {LinkKey} from '../links/index.js';
import {logParts, silentLoggerFactory} from '../logging/index.js';
import {MemoryPlatformLog} from '../platform-log/index.js';
import {MemoryVmList} from '../vms/index.js';
import {rejectionReasons, httpStatus} from '../requests/index.js';
import {environmentVariableName} from '../settings/index.js';
import {commands} from './main.js';

type Row = {title: string; cells: string[]};

const page = readFileSync(path.resolve(import.meta.dirname, '../../docs/OPERATIONS.md'), 'utf8');

/** Returns the table rows in a section of the page and its subsections, without header and delimiter rows. */
function rowsOf(section: string): Row[] {
	const rows: Row[] = [];
	let [isInside, isHeader, title] = [false, true, ''];
	for (const line of page.split('\n')) {
		const heading = /^(?<level>##+) (?<title>.*)$/.exec(line)?.groups;
		if (heading) {
			title = heading.title!;
			isInside = heading.level === '##' ? title === section : isInside;
		}

		if (line.startsWith('|---')) {
			isHeader = false;
		} else if (!line.startsWith('|')) {
			isHeader = true;
		} else if (isInside && !isHeader) {
			rows.push({title, cells: line.slice(1, -1).split('|').map(cell => cell.trim())});
		}
	}

	return rows;
}

const code = (text: string) => `\`${text}\``;
const names = (section: string) => firstCells(rowsOf(section), 1);
/** Returns the first `count` cells of each row joined to one text, sorted. */
const firstCells = (rows: readonly Row[], count: number) => rows.map(row => row.cells.slice(0, count).join(' | ')).toSorted();
const lines = (rows: ReadonlyArray<readonly string[]>) => rows.map(row => row.join(' | ')).toSorted();
const expected = (values: readonly string[]) => values.map(value => code(value)).toSorted();

// Each test guards against a page that omits a name of the program or lists one that does not exist.
test('the page lists every subcommand', () => {
	expect(names('Commands')).toEqual(expected(commands.map(command => command.name)));
});

test.each(commands)('the page lists every flag, variable and default of $name', command => {
	const rows = rowsOf('Flags and variables').filter(row => row.title.includes(code(command.name)));
	const settings = Object.values(command.settings).map(({flag, fallback}) => [
		code(`--${flag}`), code(environmentVariableName(flag)), fallback === undefined ? 'required' : (fallback === '' ? 'empty' : code(fallback)),
	]);
	expect(firstCells(rows, 3)).toEqual(lines(settings));
});

test('every command has a table of flags and every table belongs to a command', () => {
	const titles = rowsOf('Flags and variables').flatMap(row => row.title.split(', '));
	expect([...new Set(titles)].toSorted()).toEqual(expected(commands.map(command => command.name)));
});

test('the page lists every metric of an entry VM with its labels', async () => {
	const clock = SystemClock.create();
	const listen = {host: '127.0.0.1', port: 0};
	const vm = await EntryVm.create({
		name: 'page-1', zone: 'riga-a', callers: listen, operators: listen, maxBodyBytes: 1024, eventCapacity: 100, weightGbPerSecond: 1, clock, log: MemoryPlatformLog.create({clock}), vmList: MemoryVmList.create({clock}), createLogger: silentLoggerFactory, links: {key: LinkKey.create('a shared key of the tests'), listen, peers: []},
	});
	const metrics = vm.registry.getMetricsAsArray().map(metric => {
		const {labelNames = []} = metric as {labelNames?: string[]};
		return [code(metric.name), metric.constructor.name.toLowerCase(), labelNames.map(label => code(label)).join(', ') || 'none'];
	});
	await vm.shutdown();
	expect(firstCells(rowsOf('Metrics'), 3)).toEqual(lines(metrics));
});

test.each([
	['Events', eventKinds],
	['Log lines', logParts],
	['RPC', OperatorService.methods.map(method => method.name)],
])('the page lists every name of section %s', (section, values) => {
	expect(names(section)).toEqual(expected(values));
});

test('the page lists every rejection reason with its status', () => {
	const rows = rejectionReasons.map(reason => [code(reason), String(httpStatus({
		request_id: '', outcome: 'unknown', reason, message: '',
	}))]);
	expect(rowsOf('Rejections').map(row => `${row.cells[0]} | ${row.cells[2]}`).toSorted()).toEqual(lines(rows));
});

test('the page lists every field of every declaration kind with its default', () => {
	const fields = (kind: string, shape: Record<string, z.ZodType>) => Object.entries(shape).filter(([field]) => field !== 'kind' || kind === 'stage').map(([field, schema]) => {
		const absent = schema.safeParse(undefined);
		return [code(kind), code(field), absent.success ? (absent.data === undefined ? 'optional' : code(JSON.stringify(absent.data))) : 'required'];
	});
	const schemas = declarationSchema.options.flatMap(({shape}) => fields(shape.kind.value, shape));
	expect(firstCells(rowsOf('Declarations'), 3)).toEqual(lines([...schemas, ...fields('stage', stageSchema.shape)]));
});
