import {spawnSync} from 'node:child_process';
import {existsSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const root = path.resolve(import.meta.dirname, '..');

/**
 * Runs a command in the repository root with inherited standard streams and returns its exit status.
 *
 * @param {string} command
 * @param {string[]} args
 */
export function run(command, args) {
	const result = spawnSync(command, args, {cwd: root, stdio: 'inherit'});
	return result.status ?? 1;
}

/** Installs the locked dependencies unless they are present; exits if the installation fails. */
export function install() {
	if (existsSync(path.join(root, 'node_modules', '.bin', 'tsc'))) {
		return;
	}

	const status = run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error']);
	if (status !== 0) {
		console.error('Cannot install the dependencies: npm ci failed.');
		process.exit(1);
	}
}

/** Returns the path of an executable installed by a dependency. */
export function bin(name) {
	return path.join(root, 'node_modules', '.bin', name);
}
