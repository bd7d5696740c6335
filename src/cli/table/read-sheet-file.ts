/** Reads a sheet from a CSV file and runs the checks that are possible offline. */
import { readFileSync } from 'node:fs';
import { Left, Right, type Either } from 'purify-ts';
import type { PartnerId } from '../../core/identifiers.js';
import type { Finding } from '../../table/finding.js';
import type { RouteRow } from '../../table/route-row.js';
import { parseSheetCsv } from '../../table/sheet-csv.js';
import { hasErrors, validateRows } from '../../table/validate-rows.js';

/** The rows of a valid sheet, with warnings. */
export interface SheetFile {
  readonly rows: readonly RouteRow[];
  readonly warnings: readonly Finding[];
}

const readText = (file: string): Either<Finding[], string> => {
  try {
    return Right(readFileSync(file, 'utf8'));
  } catch (error) {
    const problem = error instanceof Error ? error.message : String(error);
    return Left([{ severity: 'error', place: file, problem }]);
  }
};

const check = (
  rows: readonly RouteRow[],
  place: string,
  partner: PartnerId | undefined,
): Either<Finding[], SheetFile> => {
  const owner = partner ?? rows[0]?.partner;
  const findings = owner === undefined ? [] : validateRows(rows, { place, partner: owner });
  return hasErrors(findings) ? Left(findings) : Right({ rows, warnings: findings });
};

/**
 * Reads and checks `file`.
 *
 * @param partner - the partner of all rows; by default that of the first row
 */
export const readSheetFile = (
  file: string,
  partner: PartnerId | undefined,
): Either<Finding[], SheetFile> =>
  readText(file)
    .chain((text) => parseSheetCsv(text, file))
    .chain((rows) => check(rows, file, partner));
