import {readdir, readFile, stat} from 'node:fs/promises';
import path from 'node:path';
import type {JsonObject} from '@bufbuild/protobuf';
import {
	formatDeclarationFinding, loadDeclarations, type DeclarationFinding, type DeclarationFile, type LoadedDeclarations,
} from '../config/index.js';
import {errorMessage, FindingsError} from '../errors/index.js';
import {toRpcFinding, type RpcFinding} from '../operators/index.js';
import {Finding_Severity, type Finding} from '../gen/guavamill/v1/operator_pb.js';

/** Reads declaration files; a folder stands for every `.yaml` file in it. Throws `FindingsError` for paths that cannot be read. */
export async function readDeclarationFiles(paths: readonly string[]): Promise<DeclarationFile[]> {
	if (paths.length === 0) {
		throw FindingsError.create('read declarations', [{place: 'argument 1', message: 'is missing: name files or folders'}]);
	}

	const files: DeclarationFile[] = [];
	for (const inputPath of paths) {
		try {
			for (const file of await listFiles(inputPath)) {
				files.push({file, text: await readFile(file, 'utf8')});
			}
		} catch (err) {
			throw FindingsError.create('read declarations', [{place: inputPath, message: errorMessage(err)}]);
		}
	}

	return files;
}

/**
 * Loads declarations. Throws `FindingsError` where there is none: with `--prune`, an empty file would remove everything.
 * A change that only removes needs no files.
 */
export async function loadChange(paths: readonly string[], options: {isComplete: boolean; remove: readonly string[]}): Promise<LoadedDeclarations> {
	if (paths.length === 0 && options.remove.length > 0 && !options.isComplete) {
		return {declarations: [], findings: []};
	}

	const loaded = loadDeclarations(await readDeclarationFiles(paths), {checkReferences: options.isComplete});
	if (loaded.declarations.length === 0 && loaded.findings.length === 0) {
		throw FindingsError.create('read declarations', paths.map(place => ({place, message: 'holds no declaration'})));
	}

	return loaded;
}

/** True when a finding is an error. */
export function hasErrors(loaded: LoadedDeclarations): boolean {
	return loaded.findings.some(finding => finding.severity === 'error');
}

/** Turns loaded declarations into the JSON of a request. */
export function toJsonDeclarations(loaded: LoadedDeclarations): JsonObject[] {
	return loaded.declarations.map(declaration => declaration as unknown as JsonObject);
}

/** Findings of files as a message on the wire, which has no fields for file and line. */
export function toRpcFindings(loaded: LoadedDeclarations): RpcFinding[] {
	return loaded.findings.map(finding => {
		const place = finding.file === undefined ? '' : ` (${finding.file}${finding.line === undefined ? '' : `:${finding.line}`})`;
		return toRpcFinding({...finding, message: `${finding.message}${place}`});
	});
}

/** Formats a finding of an answer. */
export function formatRpcFinding(finding: Finding): string {
	const {key, path: fieldPath, message} = finding;
	const severity: DeclarationFinding['severity'] = finding.severity === Finding_Severity.WARNING ? 'warning' : 'error';
	return formatDeclarationFinding({
		severity, key, path: fieldPath, message,
	});
}

async function listFiles(inputPath: string): Promise<string[]> {
	const stats = await stat(inputPath);
	if (!stats.isDirectory()) {
		return [inputPath];
	}

	const names = await readdir(inputPath);
	return names.filter(name => /\.ya?ml$/.test(name)).toSorted().map(name => path.join(inputPath, name));
}
