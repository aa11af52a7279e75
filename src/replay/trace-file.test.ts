import {expect, test} from 'vitest';
import {FindingsError} from '../errors/index.js';
import {makeTrace} from './make-trace.js';
import {formatTrace, parseTrace} from './trace-file.js';

// Guards against a trace that changes when it is written and read back.
test('a formatted trace parses to the same trace', () => {
	const trace = makeTrace({
		name: 'cache-gaps', deployment: 'fundacion', seed: 3, durationMs: 2000,
	});
	expect(parseTrace(formatTrace(trace))).toEqual(trace);
});

// Guards against findings without a line number and against stopping at the first finding.
test('every finding names its line', () => {
	const [header] = formatTrace(makeTrace({
		name: 'steady', deployment: 'die-works', seed: 1, durationMs: 1000,
	})).split('\n');
	const text = [header, '{"type":"request","at_ms":-1}', '{', '{"type":"song"}', header].join('\n');
	const places = (() => {
		try {
			parseTrace(text);
			return [];
		} catch (err) {
			return err instanceof FindingsError ? err.findings.map(finding => finding.place) : [];
		}
	})();
	expect(places).toEqual(expect.arrayContaining(['line 2.at_ms', 'line 2.team', 'line 3', 'line 4', 'line 5']));
});

// Guards against accepting a file without a header.
test('a trace without a header is rejected', () => {
	expect(() => parseTrace('')).toThrow('the header is missing');
});
