// `npm start`: builds the project and serves the sample pipeline with simulated targets in one process.
import process from 'node:process';
import {bin, install, run} from './install.mjs';

install();
if (run(bin('tsc'), ['-p', 'tsconfig.build.json']) !== 0) {
	process.exit(1);
}

const {main} = await import('../dist/cli/main.js');
await main(['sample', ...process.argv.slice(2)]);
process.exit();
