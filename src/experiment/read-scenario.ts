/** Reads scenario files and reports all findings of a file together, each with its line. */
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { type Either, Left, Right } from 'purify-ts';
import { type Document, isNode, LineCounter, parseDocument } from 'yaml';
import type { Finding } from '../table/finding.js';
import type { Scenario } from './scenario.js';
import { SCENARIO_SCHEMA } from './scenario-schema.js';

/** The folder of the scenario files, relative to the package root. */
export const SCENARIO_FOLDER = 'scenarios';
const EXTENSION = '.yaml';

const placeOf = (
  fileName: string,
  document: Document,
  lines: LineCounter,
  path: readonly PropertyKey[],
): string => {
  for (let length = path.length; length > 0; length -= 1) {
    const found = document.getIn(path.slice(0, length), true);
    if (isNode(found) && found.range) {
      return `${fileName}:${lines.linePos(found.range[0]).line} ${path.map(String).join('.')}`;
    }
  }
  return `${fileName} ${path.map(String).join('.')}`.trim();
};

/** Removes fields that are `undefined`, so that optional fields absent from the file are absent here too. */
const withoutUndefined = (value: unknown): unknown => JSON.parse(JSON.stringify(value)) as unknown;

/** Parses the text of a scenario file; `fileName` is used in findings. */
export const parseScenario = (fileName: string, text: string): Either<Finding[], Scenario> => {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines });
  if (document.errors.length > 0) {
    return Left(
      document.errors.map(({ message, linePos }) => ({
        severity: 'error' as const,
        place: `${fileName}:${linePos?.[0].line ?? 1}`,
        problem: message,
      })),
    );
  }
  const parsed = SCENARIO_SCHEMA.safeParse(document.toJS());
  if (!parsed.success) {
    return Left(
      parsed.error.issues.map(({ path, message }) => ({
        severity: 'error' as const,
        place: placeOf(fileName, document, lines, path),
        problem: message,
      })),
    );
  }
  return Right(withoutUndefined(parsed.data) as Scenario);
};

/** Reads one scenario file. */
const readScenarioFile = async (path: string): Promise<Either<Finding[], Scenario>> => {
  try {
    return parseScenario(path, await readFile(path, 'utf8'));
  } catch (error) {
    return Left([{ severity: 'error', place: path, problem: String(error) }]);
  }
};

/** Reads all scenario files of a folder, sorted by name. */
export const readScenarios = async (folder: string): Promise<Either<Finding[], Scenario[]>> => {
  const names = (await readdir(folder)).filter((name) => name.endsWith(EXTENSION)).sort();
  const read = await Promise.all(names.map((name) => readScenarioFile(join(folder, name))));
  const findings = read.flatMap((scenario) => scenario.swap().orDefault([]));
  return findings.length > 0
    ? Left(findings)
    : Right(read.flatMap((scenario) => scenario.toMaybe().toList()));
};
