import {
	isMap, isNode, isPair, isSeq, LineCounter, parseAllDocuments, type Document, type Node,
} from 'yaml';
import type {z} from 'zod';
import {errorMessage} from '../errors/index.js';
import {checkDeclarations} from './check-declarations.js';
import type {DeclarationFinding} from './declaration-finding.js';
import {DeclarationSet} from './declaration-set.js';
import {declarationKey, declarationSchema, type Declaration} from './declarations.js';

/** Name and content of a declaration file. */
export interface DeclarationFile {
	readonly file: string;
	readonly text: string;
}

/** Loaded declarations and all findings. Declarations that do not parse or repeat a key are omitted. */
export interface LoadedDeclarations {
	readonly declarations: readonly Declaration[];
	readonly findings: readonly DeclarationFinding[];
}

type DeclarationSource = {file: string; root: Node; document: Document; lineCounter: LineCounter};

/**
 * Loads declarations from YAML. A document contains one declaration or a list of them; a file contains any number of
 * documents. `checkReferences: false` is for files that contain only part of a configuration.
 *
 * @example
 * const {declarations, findings} = loadDeclarations([{file: 'teams.yaml', text}]);
 */
export function loadDeclarations(files: readonly DeclarationFile[], options: {checkReferences?: boolean} = {}): LoadedDeclarations {
	const findings: DeclarationFinding[] = [];
	const declarations: Declaration[] = [];
	const sources = new Map<string, DeclarationSource>();
	for (const {file, text} of files) {
		const lineCounter = new LineCounter();
		const documents = parseAllDocuments(text, {lineCounter, uniqueKeys: true});
		for (const document of Array.isArray(documents) ? documents : []) {
			findings.push(...syntaxFindings(document, file, lineCounter));
			for (const root of document.errors.length > 0 ? [] : declarationNodes(document.contents)) {
				loadDeclaration({
					file, root, document, lineCounter,
				}, {findings, declarations, sources});
			}
		}
	}

	if (options.checkReferences ?? true) {
		findings.push(...checkDeclarations(DeclarationSet.create(declarations)).map(finding => withLocation(finding, sources.get(finding.key))));
	}

	return {declarations, findings};
}

function syntaxFindings(document: Document.Parsed | Document, file: string, lineCounter: LineCounter): DeclarationFinding[] {
	return document.errors.map(error => ({
		severity: 'error', key: '', path: '', message: error.message.replace(/ at line \d+, column \d+:[^]*$/, ''), file, line: lineCounter.linePos(error.pos[0]).line,
	}));
}

function declarationNodes(contents: unknown): Node[] {
	if (isSeq(contents)) {
		return contents.items.filter(item => isNode(item));
	}

	return isNode(contents) ? [contents] : [];
}

function loadDeclaration(source: DeclarationSource, output: {findings: DeclarationFinding[]; declarations: Declaration[]; sources: Map<string, DeclarationSource>}): void {
	let value: unknown;
	try {
		value = source.root.toJS(source.document);
	} catch (err) {
		output.findings.push(withLocation({
			severity: 'error', key: '', path: '', message: errorMessage(err),
		}, source));
		return;
	}

	const parsed = declarationSchema.safeParse(value);
	if (!parsed.success) {
		const key = unparsedKey(value);
		for (const issue of parsed.error.issues) {
			output.findings.push(...issueFindings(issue, key).map(finding => withLocation(finding, source)));
		}

		return;
	}

	const key = declarationKey(parsed.data);
	const earlier = output.sources.get(key);
	if (earlier) {
		output.findings.push(withLocation({
			severity: 'error', key, path: 'name', message: `is already declared in ${earlier.file}:${lineAt(earlier, '')}`,
		}, source));
		return;
	}

	output.sources.set(key, source);
	output.declarations.push(parsed.data);
}

function issueFindings(issue: z.core.$ZodIssue, key: string): DeclarationFinding[] {
	const path = issue.path.map(String);
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(name => ({
			severity: 'error', key, path: [...path, name].join('.'), message: 'is not a known key',
		}));
	}

	return [{
		severity: 'error', key, path: path.join('.'), message: issue.message,
	}];
}

function unparsedKey(value: unknown): string {
	const {kind, name} = (value ?? {}) as {kind?: unknown; name?: unknown};
	return typeof kind === 'string' && typeof name === 'string' ? `${kind}/${name}` : '';
}

function withLocation(finding: DeclarationFinding, source: DeclarationSource | undefined): DeclarationFinding {
	return source ? {...finding, file: source.file, line: lineAt(source, finding.path)} : finding;
}

/** Returns the line of the deepest existing node on the path; a missing key is reported at its parent. */
function lineAt(source: DeclarationSource, path: string): number {
	let node: unknown = source.root;
	let offset = source.root.range?.[0] ?? 0;
	for (const segment of path === '' ? [] : path.split('.')) {
		if (isMap(node)) {
			const pair = node.items.find(item => String(item.key) === segment);
			if (!isPair(pair)) {
				break;
			}

			offset = (pair.key as Node).range?.[0] ?? offset;
			node = pair.value;
		} else if (isSeq(node)) {
			node = node.items[Number(segment)];
			offset = (isNode(node) ? node.range?.[0] : undefined) ?? offset;
		} else {
			break;
		}
	}

	return source.lineCounter.linePos(offset).line;
}
