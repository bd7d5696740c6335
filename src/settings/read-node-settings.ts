/** Reads a node's settings from YAML and flags, and reports all findings together. */
import { type Either, Left, Right } from 'purify-ts';
import { isNode, LineCounter, parseDocument, type Document } from 'yaml';
import type { z } from 'zod';
import type { Finding } from '../table/finding.js';
import { NODE_SETTINGS_SCHEMA } from './node-settings-schema.js';
import type { NodeSettings } from './node-settings.js';

/** Values of flags; each overrides the field of the same name. */
export type SettingsOverrides = Readonly<Record<string, unknown>>;

/** Environment variable that may hold the shared secret instead of the settings file. */
export const SECRET_VARIABLE = 'CROSSROAD_PEER_SECRET';

/** The text of a settings file. */
export interface SettingsSource {
  /** Name shown in findings. */
  readonly fileName: string;
  readonly text: string;
}

interface ParsedSource {
  readonly source: SettingsSource;
  readonly document: Document;
  readonly lines: LineCounter;
}

const isPlainObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const describePosition = (parsed: ParsedSource, path: readonly PropertyKey[]): string => {
  for (let length = path.length; length > 0; length -= 1) {
    const found = parsed.document.getIn(path.slice(0, length), true);
    if (isNode(found) && found.range) {
      const { line, col } = parsed.lines.linePos(found.range[0]);
      return `${parsed.source.fileName}:${line}:${col}`;
    }
  }
  return parsed.source.fileName;
};

/** The name of the flag that overrides a field, without leading dashes. */
export const flagOf = (field: string): string =>
  field.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);

const describeOverride = (field: string): string =>
  field === 'peerSecret' ? `environment ${SECRET_VARIABLE}` : `--${flagOf(field)}`;

const describePlace = (
  parsed: ParsedSource,
  overrides: SettingsOverrides,
  path: readonly PropertyKey[],
): string => {
  const field = path.map(String).join('.');
  const top = String(path[0]);
  return top in overrides
    ? describeOverride(top)
    : `${describePosition(parsed, path)} ${field}`.trim();
};

const splitProblem = (message: string): Pick<Finding, 'problem' | 'allowed'> => {
  const [problem = message, allowed] = message.split('; allowed: ');
  return allowed === undefined ? { problem } : { problem, allowed };
};

const toFindings = (
  parsed: ParsedSource,
  overrides: SettingsOverrides,
  issue: z.core.$ZodIssue,
): Finding[] => {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      severity: 'error',
      place: describePlace(parsed, overrides, [...issue.path, key]),
      problem: 'is not a field of the settings',
    }));
  }
  const place = describePlace(parsed, overrides, issue.path);
  return [{ severity: 'error', place, ...splitProblem(issue.message) }];
};

const syntaxFindings = (parsed: ParsedSource): Finding[] =>
  parsed.document.errors.map((error) => {
    const { line, col } = parsed.lines.linePos(error.pos[0]);
    return {
      severity: 'error',
      place: `${parsed.source.fileName}:${line}:${col}`,
      problem: (error.message.split('\n')[0] ?? error.message).replace(/ at line .*$/, ''),
    };
  });

const parseSource = (source: SettingsSource): ParsedSource => {
  const lines = new LineCounter();
  const document = parseDocument(source.text, { lineCounter: lines });
  return { source, document, lines };
};

/** Validates the file and the flags against the schema; Left lists all findings. */
export const readNodeSettings = (
  source: SettingsSource,
  overrides: SettingsOverrides = {},
): Either<Finding[], NodeSettings> => {
  const parsed = parseSource(source);
  if (parsed.document.errors.length > 0) {
    return Left(syntaxFindings(parsed));
  }
  const content: unknown = parsed.document.toJS() ?? {};
  if (!isPlainObject(content)) {
    const place = `${source.fileName}:1:1`;
    return Left([{ severity: 'error', place, problem: 'the file is not a list of fields' }]);
  }
  const checked = NODE_SETTINGS_SCHEMA.safeParse({ ...content, ...overrides });
  if (!checked.success) {
    return Left(checked.error.issues.flatMap((issue) => toFindings(parsed, overrides, issue)));
  }
  const { seed, record, ...settings } = checked.data;
  return Right({
    ...settings,
    ...(seed === undefined ? {} : { seed }),
    ...(record === undefined ? {} : { record }),
  });
};
