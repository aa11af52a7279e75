// `npm test`: runs the linter, the type checker, the build and all tests. Failures of tests listed in KNOWN-RED.txt are
// printed and do not fail the run. Arguments are test filters; with them, the linter and the type checker are skipped.
import {existsSync, readFileSync, rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {bin, install, run} from './install.mjs';

const root = path.resolve(import.meta.dirname, '..');
const resultFile = path.join(root, '.test-results.json');

/** Returns the full names of the tests listed in KNOWN-RED.txt, one per line as `test: <name>`. */
function readKnownFailures() {
	const file = path.join(root, 'KNOWN-RED.txt');
	if (!existsSync(file)) {
		return new Set();
	}

	const lines = readFileSync(file, 'utf8').split('\n');
	return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice(6).trim()));
}

/** Runs a check and exits if it fails. */
function check(name, command, args) {
	console.log(`# ${name}`);
	if (run(command, args) !== 0) {
		console.error(`Cannot run the tests: ${name} failed.`);
		process.exit(1);
	}
}

install();
const filters = process.argv.slice(2);
if (filters.length === 0) {
	check('lint', bin('xo'), []);
	check('type check', bin('tsc'), ['-p', 'tsconfig.json']);
}

check('build', bin('tsc'), ['-p', 'tsconfig.build.json']);
console.log('# tests');
rmSync(resultFile, {force: true});
run(bin('vitest'), ['run', '--reporter=default', '--reporter=json', `--outputFile=${resultFile}`, ...filters]);
if (!existsSync(resultFile)) {
	console.error('Cannot read the test results: the test runner did not write .test-results.json.');
	process.exit(1);
}

const results = JSON.parse(readFileSync(resultFile, 'utf8'));
const knownFailures = readKnownFailures();
const tests = results.testResults.flatMap(file => file.assertionResults);
const passed = tests.filter(test => test.status === 'passed');
const failed = tests.filter(test => test.status !== 'passed');
const expectedFailures = failed.filter(test => knownFailures.has(test.fullName));
const unexpectedFailures = failed.filter(test => !knownFailures.has(test.fullName));
// A file that fails to load has no assertion results.
const unloadedFiles = results.testResults.filter(file => file.status === 'failed' && file.assertionResults.length === 0);
for (const test of expectedFailures) {
	console.log(`known red: ${test.fullName}`);
}

for (const test of unexpectedFailures) {
	console.log(`failed: ${test.fullName}`);
}

for (const file of unloadedFiles) {
	console.log(`failed to load: ${path.relative(root, file.name)}`);
}

console.log(`${passed.length} passed, ${unexpectedFailures.length + unloadedFiles.length} failed, ${expectedFailures.length} skipped`);
process.exit(unexpectedFailures.length + unloadedFiles.length === 0 && passed.length > 0 ? 0 : 1);
