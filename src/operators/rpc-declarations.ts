import type {JsonObject} from '@bufbuild/protobuf';
import {
	declarationSchema, type Declaration, type DeclarationFinding, type DeclarationKey,
} from '../config/index.js';
import {Finding_Severity} from '../gen/guavamill/v1/operator_pb.js';

/** Fields of a `Finding` message. */
export interface RpcFinding {
	severity: Finding_Severity;
	key: string;
	path: string;
	message: string;
}

/** Validates the declarations of a request and returns the valid ones and all findings. */
export function parseDeclarations(values: readonly JsonObject[]): {declarations: Declaration[]; findings: DeclarationFinding[]} {
	const declarations: Declaration[] = [];
	const findings: DeclarationFinding[] = [];
	for (const [index, value] of values.entries()) {
		const parsed = declarationSchema.safeParse(value);
		if (parsed.success) {
			declarations.push(parsed.data);
			continue;
		}

		const key: DeclarationKey | string = typeof value.kind === 'string' && typeof value.name === 'string' ? `${value.kind}/${value.name}` : `set.${index}`;
		findings.push(...parsed.error.issues.map(issue => ({
			severity: 'error' as const, key, path: issue.path.map(String).join('.'), message: issue.message,
		})));
	}

	return {declarations, findings};
}

/** Converts a finding to a `Finding` message. */
export function toRpcFinding(finding: DeclarationFinding): RpcFinding {
	return {
		severity: finding.severity === 'error' ? Finding_Severity.ERROR : Finding_Severity.WARNING, key: finding.key, path: finding.path, message: finding.message,
	};
}
