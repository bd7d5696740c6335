/** Reads and writes the result file of an experiment. */
import { readFile, writeFile } from 'node:fs/promises';
import { type Either, Left, Right } from 'purify-ts';
import type { Finding } from '../table/finding.js';
import type { ScenarioResult } from './scenario-result.js';

/** Version of the file format; increased by changes that older readers cannot read. */
export const EXPERIMENT_FORMAT = 1;

/** The content of the file: the results of one invocation. */
export interface ExperimentFile {
  readonly format: typeof EXPERIMENT_FORMAT;
  /** The command line of the invocation, without the program name. */
  readonly command: string;
  /** When the experiment began, as ISO 8601. */
  readonly startedAt: string;
  readonly nodeVersion: string;
  readonly results: readonly ScenarioResult[];
}

/** Writes a result file as JSON. */
export const writeExperimentFile = (path: string, file: ExperimentFile): Promise<void> =>
  writeFile(path, `${JSON.stringify(file)}\n`);

const isExperimentFile = (value: unknown): value is ExperimentFile =>
  typeof value === 'object' &&
  value !== null &&
  'format' in value &&
  value.format === EXPERIMENT_FORMAT &&
  'results' in value &&
  Array.isArray(value.results);

/** Reads a file that `writeExperimentFile` wrote; Left if it cannot be read or has another format. */
export const readExperimentFile = async (
  path: string,
): Promise<Either<Finding[], ExperimentFile>> => {
  try {
    const value: unknown = JSON.parse(await readFile(path, 'utf8'));
    return isExperimentFile(value)
      ? Right(value)
      : Left([
          { severity: 'error', place: path, problem: 'is not a result file of an experiment' },
        ]);
  } catch (error) {
    return Left([{ severity: 'error', place: path, problem: String(error) }]);
  }
};
