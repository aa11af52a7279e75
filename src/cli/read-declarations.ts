import {readdir, readFile, stat} from 'node:fs/promises';
import path from 'node:path';
import type {JsonObject} from '@bufbuild/protobuf';
import {
	formatDeclarationFinding, loadDeclarations, type DeclarationFinding, type DeclarationFile, type LoadedDeclarations,
} from '../config/index.js';
import {errorMessage, FindingsError} from '../errors/index.js';
import {toRpcFinding, type RpcFinding} from '../operators/index.js';
import {Finding_Severity, type Finding} from '../gen/guavamill/v1/operator_pb.js';

/**
 * Reads declaration files. For a folder, reads all `.yaml` and `.yml` files directly in it. Throws a `FindingsError` for a
 * path that cannot be read.
 */
export async function readDeclarationFiles(paths: readonly string[]): Promise<DeclarationFile[]> {
	if (paths.length === 0) {
		throw FindingsError.create('read declarations', [{place: 'argument 1', message: 'is missing; specify files or folders'}]);
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
 * Loads the declarations of a change. Throws a `FindingsError` when the files contain none, because with `--prune` that
 * would remove the whole configuration. A change that only removes declarations needs no files.
 */
export async function loadChange(paths: readonly string[], options: {isComplete: boolean; remove: readonly string[]}): Promise<LoadedDeclarations> {
	if (paths.length === 0 && options.remove.length > 0 && !options.isComplete) {
		return {declarations: [], findings: []};
	}

	const loaded = loadDeclarations(await readDeclarationFiles(paths), {checkReferences: options.isComplete});
	if (loaded.declarations.length === 0 && loaded.findings.length === 0) {
		throw FindingsError.create('read declarations', paths.map(place => ({place, message: 'contains no declaration'})));
	}

	return loaded;
}

/** Returns true when at least one finding is an error. */
export function hasErrors(loaded: LoadedDeclarations): boolean {
	return loaded.findings.some(finding => finding.severity === 'error');
}

/** Converts loaded declarations to the JSON objects of a request. */
export function toJsonDeclarations(loaded: LoadedDeclarations): JsonObject[] {
	return loaded.declarations.map(declaration => declaration as unknown as JsonObject);
}

/** Converts the findings to `Finding` messages. File and line become part of the text, as the message has no fields for them. */
export function toRpcFindings(loaded: LoadedDeclarations): RpcFinding[] {
	return loaded.findings.map(finding => {
		const place = finding.file === undefined ? '' : ` (${finding.file}${finding.line === undefined ? '' : `:${finding.line}`})`;
		return toRpcFinding({...finding, message: `${finding.message}${place}`});
	});
}

/** Formats a finding of a response. */
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
