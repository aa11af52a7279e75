// Bundles the program that runs on the platform: loading several hundred modules one by one takes most of the processor
// time of a start, which a small VM notices. The given file is the entry; it holds signals and then loads the program
// itself, which stands beside it as NAME-main.
import path from 'node:path';
import process from 'node:process';
import {run} from './install.mjs';
import {leftOutModules} from './left-out-modules.mjs';

/** Tells this script that it has installed the dependencies already. */
const installedFlag = '--installed';
const exitFailure = 1;

const outfile = path.resolve(process.argv[2] ?? 'target/relay.mjs');
const {dir, name, ext} = path.parse(outfile);
const mainFile = `${name}-main${ext}`;
const options = {
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
};

/** Loads the bundler and lets its binary run once. */
async function loadBundler() {
	const {build, transform} = await import('esbuild');
	await transform('');
	return build;
}

/** Installs the dependencies again and starts over: node_modules may come from another kind of machine, or be incomplete. */
function installAgain(reason) {
	if (process.argv.includes(installedFlag)) {
		console.error(`Cannot bundle: the bundler does not run after the dependencies were installed again: ${reason}`);
		process.exit(exitFailure);
	}

	console.error(`Installing the dependencies again, since the bundler does not run: ${reason}`);
	if (run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error']) !== 0) {
		console.error('Cannot bundle: npm ci failed.');
		process.exit(exitFailure);
	}

	process.exit(run(process.execPath, [import.meta.filename, outfile, installedFlag]));
}

let build;
try {
	build = await loadBundler();
} catch (err) {
	installAgain(err.message);
}

await build({
	...options,
	entryPoints: ['platform/main.ts'],
	outfile: path.join(dir, mainFile),
	plugins: [leftOutModules],
	// Some libraries are CommonJS modules that call `require` for modules of Node.js.
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\';\nconst require = createBundleRequire(import.meta.url);'},
});
// Written last: an entry stands for a whole program.
await build({
	...options,
	entryPoints: ['platform/bootstrap.ts'],
	outfile: path.join(dir, `${name}${ext}`),
	plugins: [{
		name: 'main-beside-entry',
		setup(bundler) {
			bundler.onResolve({filter: /^\.\/main\.js$/}, () => ({path: `./${mainFile}`, external: true}));
		},
	}],
});
