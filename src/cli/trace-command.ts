import {toJsonString} from '@bufbuild/protobuf';
import {formatTimeline, type PrintableEvent} from '../events/index.js';
import {TraceResponseSchema, type TraceResponse} from '../gen/guavamill/v1/operator_pb.js';
import {numberSchema, resolveSettings, textSchema} from '../settings/index.js';
import {exitCodes, type Command} from './command.js';
import {createOperatorClient, operatorSettings} from './operator-client.js';

const traceSettings = {
	...operatorSettings,
	request: {
		flag: 'request', help: 'Only events of this request.', fallback: '', schema: textSchema,
	},
	team: {
		flag: 'team', help: 'Only events of this team.', fallback: '', schema: textSchema,
	},
	target: {
		flag: 'target', help: 'Only events of this target or peer.', fallback: '', schema: textSchema,
	},
	sinceMs: {
		flag: 'since', help: 'Maximum age of the events, in ms; no limit when 0.', fallback: '0', schema: numberSchema(0, 1e12),
	},
	limit: {
		flag: 'limit', help: 'Maximum number of events; the latest ones are kept.', fallback: '1000', schema: numberSchema(1, 20_000),
	},
};

/** `guavamill trace`: prints the merged timeline of all entry VMs that respond. */
export const traceCommand: Command = {
	name: 'trace',
	usage: 'guavamill trace --request 6f0c… --vm http://127.0.0.1:7001',
	summary: 'Prints the merged timeline of all entry VMs and lists those that did not respond.',
	settings: traceSettings,
	maxArgs: 0,
	async run(input) {
		const settings = resolveSettings(traceSettings, input);
		const response = await createOperatorClient(settings).trace({
			requestId: settings.request,
			team: settings.team,
			target: settings.target,
			sinceMs: settings.sinceMs === 0 ? 0 : Math.max(1, Date.now() - settings.sinceMs),
			limit: settings.limit,
		});
		if (settings.json) {
			input.print(toJsonString(TraceResponseSchema, response, {alwaysEmitImplicit: true}));
			return exitCodes.ok;
		}

		for (const line of formatTrace(response)) {
			input.print(line);
		}

		return exitCodes.ok;
	},
};

/** Formats a timeline as lines. The last line lists the processes whose events are missing. */
export function formatTrace(response: TraceResponse): string[] {
	const lines = response.events.length === 0 ? ['No event matches.'] : formatTimeline(response.events.map(event => toPrintableEvent(event)));
	return response.missingProcesses.length === 0 ? lines : [...lines, `No answer from: ${response.missingProcesses.join(', ')}`];
}

/** Omits the fields that are empty: the schema has no field presence, so a missing value arrives as an empty one. */
function toPrintableEvent(event: TraceResponse['events'][number]): PrintableEvent {
	const textField = (key: 'requestId' | 'team' | 'stage' | 'target' | 'detail') => event[key] === '' ? {} : {[key]: event[key]};
	return {
		kind: event.kind,
		...textField('requestId'),
		...textField('team'),
		...textField('stage'),
		...(event.attempt === 0 ? {} : {attempt: event.attempt}),
		...textField('target'),
		...textField('detail'),
		process: event.process,
		sequence: Number(event.sequence),
		wallMs: event.wallMs,
		logical: event.logical,
	};
}
