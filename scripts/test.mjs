// `npm test`: lint, type check, build and all tests. Tests listed in KNOWN-RED.txt may fail; they are printed.
import {existsSync, readFileSync, rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {bin, install, run} from './install.mjs';

const root = path.resolve(import.meta.dirname, '..');
const resultFile = path.join(root, '.test-results.json');

/** Returns the full names of the tests that KNOWN-RED.txt lists on lines `test: <name>`. */
function knownRed() {
	const file = path.join(root, 'KNOWN-RED.txt');
	if (!existsSync(file)) {
		return new Set();
	}

	const lines = readFileSync(file, 'utf8').split('\n');
	return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice(6).trim()));
}

function check(name, command, args) {
	console.log(`# ${name}`);
	if (run(command, args) !== 0) {
		console.error(`Cannot pass: ${name} failed.`);
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
	console.error('Cannot pass: the test runner wrote no result.');
	process.exit(1);
}

const results = JSON.parse(readFileSync(resultFile, 'utf8'));
const allowed = knownRed();
const tests = results.testResults.flatMap(file => file.assertionResults);
const passed = tests.filter(test => test.status === 'passed');
const failed = tests.filter(test => test.status !== 'passed');
const red = failed.filter(test => allowed.has(test.fullName));
const unexpected = failed.filter(test => !allowed.has(test.fullName));
// A file that fails to load reports no assertion of its own.
const brokenFiles = results.testResults.filter(file => file.status === 'failed' && file.assertionResults.length === 0);
for (const test of red) {
	console.log(`known red: ${test.fullName}`);
}

for (const test of unexpected) {
	console.log(`failed: ${test.fullName}`);
}

for (const file of brokenFiles) {
	console.log(`failed to load: ${path.relative(root, file.name)}`);
}

console.log(`${passed.length} passed, ${unexpected.length + brokenFiles.length} failed, ${red.length} skipped`);
process.exit(unexpected.length + brokenFiles.length === 0 && passed.length > 0 ? 0 : 1);
