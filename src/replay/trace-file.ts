import {FindingsError, zodFindings, type Finding} from '../errors/index.js';
import {
	traceFaultSchema, traceHeaderSchema, traceRequestSchema, type Trace, type TraceFault, type TraceHeader, type TraceRequest,
} from './trace.js';

const schemas = {header: traceHeaderSchema, request: traceRequestSchema, fault: traceFaultSchema};

/**
 * Parses a trace from JSON lines. Throws `FindingsError` with all findings and their line numbers.
 *
 * @example
 * const trace = parseTrace(await readFile('burst.jsonl', 'utf8'));
 */
export function parseTrace(text: string): Trace {
	const findings: Finding[] = [];
	const headers: TraceHeader[] = [];
	const requests: TraceRequest[] = [];
	const faults: TraceFault[] = [];
	for (const [index, line] of text.split('\n').entries()) {
		if (line.trim() === '') {
			continue;
		}

		const place = `line ${index + 1}`;
		const entry = parseLine(line, place, findings);
		switch (entry?.type) {
			case 'header': {
				headers.push(entry);
				if (headers.length > 1 || requests.length + faults.length > 0) {
					findings.push({place, message: 'the header is allowed only on the first line'});
				}

				break;
			}

			case 'request': {
				requests.push(entry);

				break;
			}

			case 'fault': {
				faults.push(entry);

				break;
			}
		// No default
		}
	}

	if (headers.length === 0) {
		findings.push({place: 'line 1', message: 'the header is missing'});
	}

	if (findings.length > 0) {
		throw FindingsError.create('read the trace', findings);
	}

	return {
		header: headers[0]!,
		requests: requests.sort((left, right) => left.at_ms - right.at_ms),
		faults: faults.sort((left, right) => left.at_ms - right.at_ms),
	};
}

/** Formats a trace as JSON lines. */
export function formatTrace(trace: Trace): string {
	return [trace.header, ...trace.faults, ...trace.requests].map(entry => `${JSON.stringify(entry)}\n`).join('');
}

function parseLine(line: string, place: string, findings: Finding[]): TraceHeader | TraceRequest | TraceFault | undefined {
	let value: unknown;
	try {
		value = JSON.parse(line);
	} catch {
		findings.push({place, message: 'is not JSON'});
		return undefined;
	}

	const type = (value as {type?: unknown} | undefined)?.type;
	const schema = typeof type === 'string' && Object.hasOwn(schemas, type) ? schemas[type as keyof typeof schemas] : undefined;
	if (!schema) {
		findings.push({place, message: 'has a type other than header, request or fault', value: String(type)});
		return undefined;
	}

	const result = schema.safeParse(value);
	if (!result.success) {
		findings.push(...zodFindings(result.error, place));
		return undefined;
	}

	return result.data;
}
