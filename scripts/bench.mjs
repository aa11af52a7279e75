// `npm run bench:<name>`: builds the project and runs bench/<name>.ts.
import path from 'node:path';
import process from 'node:process';
import {bin, install, run} from './install.mjs';

install();
if (run(bin('tsc'), ['-p', 'tsconfig.build.json']) !== 0) {
	process.exit(1);
}

process.exit(run(bin('tsx'), [path.join('bench', `${process.argv[2]}.ts`), ...process.argv.slice(3)]));
