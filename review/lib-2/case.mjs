import {
	appendFileSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

/** Longest time that a case may take. */
const maxMs = 110_000;

/** Exit statuses of a case. */
export const statuses = {held: 0, broken: 1, notRun: 2};

/** Whether the case is run with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Runs a case. `play` starts what it needs, adds each part that has to be ended to `ends`, writes what it sees with `note`,
 * and resolves with what breaks the rule, a line each. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
 * could not run.
 */
export async function runCase(caseFolder, play) {
	const recordFile = path.join(caseFolder, 'record.txt');
	const folder = mkdtempSync(path.join(tmpdir(), 'review-case-'));
	const startedMs = Date.now();
	const ends = [];
	writeFileSync(recordFile, '');
	const note = text => {
		appendFileSync(recordFile, `${String(Date.now() - startedMs).padStart(6)} ms  ${text}\n`);
	};

	note(hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
	let isEnding = false;
	const end = async status => {
		// The first reason to end counts.
		if (isEnding) {
			return;
		}

		isEnding = true;
		for (const close of ends.toReversed()) {
			try {
				await close();
			} catch (err) {
				note(`cannot end a part: ${err.message}`);
			}
		}

		rmSync(folder, {recursive: true, force: true});
		process.exit(status);
	};

	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			note(`not run: ended by ${signal}`);
			void end(statuses.notRun);
		});
	}

	setTimeout(() => {
		note('not run: it took too long');
		void end(statuses.notRun);
	}, maxMs);
	try {
		const broken = await play({folder, ends, note});
		for (const text of broken) {
			note(`BROKEN: ${text}`);
		}

		note(broken.length > 0 ? 'the rule was broken' : 'the rule held');
		console.log(broken.length > 0 ? `the rule was broken: ${broken[0]}` : 'the rule held');
		await end(broken.length > 0 ? statuses.broken : statuses.held);
	} catch (err) {
		note(`not run: ${err.stack}`);
		console.log(`not run: ${err.message}`);
		await end(statuses.notRun);
	}
}

/** A desired state with one route, as the operator writes it. */
export function desiredState(version, routes, services, fields = {}) {
	return {
		version,
		routes: routes.map((route, index) => ({
			name: `r-${index + 1}`, hostname: 'pule25.example', priority: 0, public: false, 'max-attempts': 1, ...route,
		})),
		services: services.map(service => ({
			'health-path': '/health', 'max-connections': 370, protocol: 'h1', tls: false, ...service,
		})),
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
		},
		tenants: [{name: 'bozi300', 'api-keys': ['9dnn2ctnfzs989anu6ws'], priority: 1}],
		...fields,
	};
}

/** Headers of a requester's request. */
export function requestHeaders(attemptId, deadlineMs, headers = {}) {
	return {
		Host: 'pule25.example', 'X-Guavamill-Attempt-Id': attemptId, 'X-Guavamill-Deadline-Ms': deadlineMs, 'X-Api-Key': '9dnn2ctnfzs989anu6ws', ...headers,
	};
}
