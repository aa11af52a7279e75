/** Limits of a message about prompt work. */
export interface PromptWorkLimits {
	readonly nameLength: number;
	readonly engines: number;
	readonly lengthClasses: number;
}

const fieldNames: ReadonlySet<string> = new Set(['type', 'isFull', 'rows', 'speeds', 'lengths']);
const maxEngineKey = 0xFF_FF_FF_FF;

/**
 * Whether decoded fields are those of a message about prompt work. It accepts what the schema of the message accepts: a
 * leader receives tens of these messages a second, whose validation by a schema takes most of the time of their handling.
 *
 * @example
 * isPromptWork({isFull: true, rows: [[17, 512, 900]], speeds: [], lengths: [['llm', [[4, 1, 512]]]]}, linkLimits); // true
 */
export function isPromptWork(fields: Record<string, unknown>, {nameLength, engines, lengthClasses}: PromptWorkLimits): boolean {
	for (const name in fields) {
		if (!fieldNames.has(name)) {
			return false;
		}
	}

	const {isFull, rows, speeds, lengths} = fields;
	return typeof isFull === 'boolean'
		&& isList(rows, engines, row => isCounts(row) && row[0]! <= maxEngineKey)
		&& isList(speeds, engines, row => isCounts(row) && row[0]! <= maxEngineKey && row[1]! > 0 && row[2]! > 0)
		&& isList(lengths, engines, row => Array.isArray(row) && row.length === 2 && isName(row[0], nameLength) && isList(row[1], lengthClasses, isCounts));
}

function isList(value: unknown, maxLength: number, isItem: (item: unknown) => boolean): boolean {
	if (!Array.isArray(value) || value.length > maxLength) {
		return false;
	}

	for (const item of value) {
		if (!isItem(item)) {
			return false;
		}
	}

	return true;
}

/** Whether a value is a row of three counts. */
function isCounts(value: unknown): value is number[] {
	return Array.isArray(value) && value.length === 3 && isCount(value[0]) && isCount(value[1]) && isCount(value[2]);
}

function isCount(value: unknown): boolean {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isName(value: unknown, maxLength: number): boolean {
	return typeof value === 'string' && value.length > 0 && value.length <= maxLength;
}
