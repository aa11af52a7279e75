import {
	isMap, isNode, isPair, isSeq, LineCounter, parseAllDocuments, type Document, type Node,
} from 'yaml';
import type {z} from 'zod';
import {errorMessage} from '../errors/index.js';
import {checkDeclarations} from './check-declarations.js';
import type {DeclarationFinding} from './declaration-finding.js';
import {DeclarationSet} from './declarations-set.js';
import {declarationKey, declarationSchema, type Declaration} from './declarations.js';

/** Text of one declaration file. */
export interface DeclarationFile {
	readonly file: string;
	readonly text: string;
}

/** Loaded declarations with every finding; declarations with findings of their own are left out. */
export interface LoadedDeclarations {
	readonly declarations: readonly Declaration[];
	readonly findings: readonly DeclarationFinding[];
}

type Source = {file: string; root: Node; document: Document; lines: LineCounter};

/**
 * Loads declarations from YAML. A document holds one declaration or a list of them; a file holds any number of documents.
 * `checkReferences: false` is for files that are a part of a configuration.
 *
 * @example
 * const {declarations, findings} = loadDeclarations([{file: 'teams.yaml', text}]);
 */
export function loadDeclarations(files: readonly DeclarationFile[], options: {checkReferences?: boolean} = {}): LoadedDeclarations {
	const findings: DeclarationFinding[] = [];
	const declarations: Declaration[] = [];
	const sources = new Map<string, Source>();
	for (const {file, text} of files) {
		const lines = new LineCounter();
		const documents = parseAllDocuments(text, {lineCounter: lines, uniqueKeys: true});
		for (const document of Array.isArray(documents) ? documents : []) {
			findings.push(...syntaxFindings(document, file, lines));
			for (const root of document.errors.length > 0 ? [] : declarationNodes(document.contents)) {
				loadOne({
					file, root, document, lines,
				}, {findings, declarations, sources});
			}
		}
	}

	if (options.checkReferences ?? true) {
		findings.push(...checkDeclarations(DeclarationSet.create(declarations)).map(finding => locate(finding, sources.get(finding.key))));
	}

	return {declarations, findings};
}

function syntaxFindings(document: Document.Parsed | Document, file: string, lines: LineCounter): DeclarationFinding[] {
	return document.errors.map(error => ({
		severity: 'error', key: '', path: '', message: error.message.replace(/ at line \d+, column \d+:[^]*$/, ''), file, line: lines.linePos(error.pos[0]).line,
	}));
}

function declarationNodes(contents: unknown): Node[] {
	if (isSeq(contents)) {
		return contents.items.filter(item => isNode(item));
	}

	return isNode(contents) ? [contents] : [];
}

function loadOne(source: Source, into: {findings: DeclarationFinding[]; declarations: Declaration[]; sources: Map<string, Source>}): void {
	let value: unknown;
	try {
		value = source.root.toJS(source.document);
	} catch (err) {
		into.findings.push(locate({
			severity: 'error', key: '', path: '', message: errorMessage(err),
		}, source));
		return;
	}

	const parsed = declarationSchema.safeParse(value);
	if (!parsed.success) {
		const key = rawKey(value);
		for (const issue of parsed.error.issues) {
			into.findings.push(...issueFindings(issue, key).map(finding => locate(finding, source)));
		}

		return;
	}

	const key = declarationKey(parsed.data);
	const first = into.sources.get(key);
	if (first) {
		into.findings.push(locate({
			severity: 'error', key, path: 'name', message: `is already declared in ${first.file}:${lineOf(first, '')}`,
		}, source));
		return;
	}

	into.sources.set(key, source);
	into.declarations.push(parsed.data);
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

function rawKey(value: unknown): string {
	const {kind, name} = (value ?? {}) as {kind?: unknown; name?: unknown};
	return typeof kind === 'string' && typeof name === 'string' ? `${kind}/${name}` : '';
}

function locate(finding: DeclarationFinding, source: Source | undefined): DeclarationFinding {
	return source ? {...finding, file: source.file, line: lineOf(source, finding.path)} : finding;
}

/** Line of the deepest node on the path that exists; a missing key is reported at its parent. */
function lineOf(source: Source, path: string): number {
	let node: unknown = source.root;
	let offset = source.root.range?.[0] ?? 0;
	for (const part of path === '' ? [] : path.split('.')) {
		if (isMap(node)) {
			const pair = node.items.find(item => String(item.key) === part);
			if (!isPair(pair)) {
				break;
			}

			offset = (pair.key as Node).range?.[0] ?? offset;
			node = pair.value;
		} else if (isSeq(node)) {
			node = node.items[Number(part)];
			offset = (isNode(node) ? node.range?.[0] : undefined) ?? offset;
		} else {
			break;
		}
	}

	return source.lines.linePos(offset).line;
}
