import {readdir, readFile, stat} from 'node:fs/promises';
import path from 'node:path';
import type {JsonObject} from '@bufbuild/protobuf';
import {
	formatDeclarationFinding, loadDeclarations, type DeclarationFinding, type DeclarationFile, type LoadedDeclarations,
} from '../config/index.js';
import {errorMessage, FindingsError} from '../errors/index.js';
import {Finding_Severity, type Finding} from '../gen/guavamill/v1/operator_pb.js';

/** Reads declaration files; a folder stands for every `.yaml` file in it. Throws `FindingsError` for paths that cannot be read. */
export async function readDeclarationFiles(paths: readonly string[]): Promise<DeclarationFile[]> {
	if (paths.length === 0) {
		throw FindingsError.create('read declarations', [{place: 'argument 1', message: 'is missing: name files or folders'}]);
	}

	const files: DeclarationFile[] = [];
	for (const given of paths) {
		try {
			for (const file of await expand(given)) {
				files.push({file, text: await readFile(file, 'utf8')});
			}
		} catch (err) {
			throw FindingsError.create('read declarations', [{place: given, message: errorMessage(err)}]);
		}
	}

	return files;
}

/** Loads declarations and prints their findings; `undefined` when one of them is an error. */
export async function loadChange(paths: readonly string[], options: {isComplete: boolean; print: (line: string) => void}): Promise<LoadedDeclarations | undefined> {
	const loaded = loadDeclarations(await readDeclarationFiles(paths), {checkReferences: options.isComplete});
	for (const finding of loaded.findings) {
		options.print(formatDeclarationFinding(finding));
	}

	return loaded.findings.some(finding => finding.severity === 'error') ? undefined : loaded;
}

/** Turns loaded declarations into the JSON of a request. */
export function toSet(loaded: LoadedDeclarations): JsonObject[] {
	return loaded.declarations.map(declaration => declaration as unknown as JsonObject);
}

/** Formats a finding of an answer. */
export function formatRpcFinding(finding: Finding): string {
	const {key, path: fieldPath, message} = finding;
	const severity: DeclarationFinding['severity'] = finding.severity === Finding_Severity.WARNING ? 'warning' : 'error';
	return formatDeclarationFinding({
		severity, key, path: fieldPath, message,
	});
}

async function expand(given: string): Promise<string[]> {
	const stats = await stat(given);
	if (!stats.isDirectory()) {
		return [given];
	}

	const names = await readdir(given);
	return names.filter(name => /\.ya?ml$/.test(name)).toSorted().map(name => path.join(given, name));
}
