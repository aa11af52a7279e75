import {expect, test} from 'vitest';
import {formatDeclarationFinding} from './format-declaration-finding.js';
import {loadDeclarations} from './load-declarations.js';

const base = `
kind: zone
name: riga-a
region: Riga
---
- {kind: team, name: engravers, weight: 1, deadline_ms: 9000}
- {kind: pool, name: engraving, type: engine, decode_ms_per_token: 10}
- {kind: pool, name: archive, type: service}
- {kind: target, name: engraving-1, zone: riga-a, pool: engraving, address: "http://127.0.0.1:7201"}
- {kind: target, name: archive-1, zone: riga-a, pool: archive, address: "http://127.0.0.1:7202"}
`;

function findingsOf(text: string): string[] {
	return loadDeclarations([{file: 'base.yaml', text: base}, {file: 'x.yaml', text}]).findings.map(finding => formatDeclarationFinding(finding));
}

// Guards against a loader that stops at the first error or reports a wrong line.
test('every finding is reported at once with file, line and path', () => {
	expect(findingsOf(`kind: team
name: small
weight: -1
deadline: 5
deadline_ms: 9000
---
- kind: target
  name: engraving-2
  zone: riga-b
  pool: carving
  address: "http://127.0.0.1:7203"
- kind: zone
  name: riga-a
  region: Riga
- kind: spaceship
  name: x
- kind: pipeline
  name: advice
  deadline_ms: 900
  stages:
    - {name: encode, kind: encode, pool: engraving}
    - name: encode
      kind: generate
      pool: archive
- {kind: path, name: p, from: Riga, to: Nowhere, latency_ms: 1, cost_per_gb: 0}
- {kind: model, name: m, pool: archive, version: "1"}
`)).toEqual([
		'error: x.yaml:3 team/small weight: Too small: expected number to be >0',
		'error: x.yaml:4 team/small deadline: is not a known key',
		'error: x.yaml:13 zone/riga-a name: is already declared in base.yaml:2',
		'error: x.yaml:15 spaceship/x kind: Invalid discriminator value. Expected \'zone\' | \'path\' | \'team\' | \'pool\' | \'target\' | \'pipeline\' | \'policy\' | \'model\'',
		'error: x.yaml:10 target/engraving-2 pool: names pool carving, which is not declared',
		'error: x.yaml:9 target/engraving-2 zone: names zone riga-b, which is not declared',
		'error: x.yaml:21 pipeline/advice stages.0.pool: names engine pool engraving; stage kind encode needs a pool of type service',
		'error: x.yaml:22 pipeline/advice stages.1.name: repeats the stage name encode',
		'error: x.yaml:24 pipeline/advice stages.1.pool: names service pool archive; stage kind generate needs a pool of type engine',
		'warning: x.yaml:19 pipeline/advice deadline_ms: is shorter than the estimate of all stages, 1341 ms',
		'error: x.yaml:25 path/p to: names region Nowhere, which has no zone',
		'error: x.yaml:26 model/m pool: names pool archive, which is not an engine pool',
	]);
});

// Guards against a syntax error in one document that hides findings in the other documents of the file.
test('the other documents are checked when one does not parse', () => {
	expect(findingsOf('kind: team\nname: [\n---\nkind: zone\nname: UPPER\nregion: R\n')).toEqual([
		'error: x.yaml:3: Flow sequence in block collection must be sufficiently indented and end with a ]',
		'error: x.yaml:5 zone/UPPER name: must be 1 to 63 of a-z, 0-9, ".", "_", "-", starting with a letter or digit',
	]);
});

// Guards against nested aliases whose expansion exhausts the memory, and against a bare scalar that makes the loader throw.
test('excessive aliases and bare scalars are reported as findings', () => {
	const nestedAliases = ['a: &a [x, x, x, x, x, x, x, x, x]', ...['b', 'c', 'd', 'e'].map((name, index) => `${name}: &${name} [${Array.from({length: 9}, () => `*${'abcd'[index]}`).join(', ')}]`)].join('\n');
	expect(findingsOf(nestedAliases)).toEqual(['error: x.yaml:1: Excessive alias count indicates a resource exhaustion attack']);
	expect(findingsOf('just text')).toEqual(['error: x.yaml:1: Invalid input: expected object, received string']);
});
