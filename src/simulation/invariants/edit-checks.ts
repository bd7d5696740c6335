/**
 * Checks of edits: an accepted edit is applied exactly once, and each write of a sheet changes only
 * the rows that its edit names.
 */
import type { StoreObject } from '../../catalog/store-object.js';
import type { Sheet } from '../../table/sheet.js';
import type { EditCallRecord } from '../call-record.js';
import type { ReportViolation } from './violation.js';

const rowsOf = (sheet: Sheet): Map<string, string> =>
  new Map(sheet.rows.map((each) => [`${each.row.route}/${each.row.kind}`, JSON.stringify(each)]));

const listChangedRows = (before: Sheet, after: Sheet): string[] => {
  const old = rowsOf(before);
  const current = rowsOf(after);
  return [...new Set([...old.keys(), ...current.keys()])].filter(
    (row) => old.get(row) !== current.get(row),
  );
};

/** Tracks the sheets in the store. */
export class EditChecks {
  private readonly sheets = new Map<string, Sheet>();
  /** The sheet version at which each edit was applied. */
  private readonly applied = new Map<string, number>();
  private lastRevision = 0;
  /**
   * Whether the store has lost writes, which nodes then write back: its writes no longer show which
   * edits were applied. `ConfigurationChecks` still checks that no node reverts to an older object.
   */
  private rolledBack = false;

  constructor(private readonly report: ReportViolation) {}

  /** Handles a write that the store has accepted. */
  handleWrite({ content, name, revision }: StoreObject): void {
    this.rolledBack ||= revision <= this.lastRevision;
    this.lastRevision = revision;
    if (content.type !== 'sheet' || this.rolledBack) {
      return;
    }
    const before = this.sheets.get(name);
    this.sheets.set(name, content.sheet);
    const record = content.sheet.history.at(-1);
    if (before === undefined || record === undefined) {
      return;
    }
    if (this.applied.has(record.edit)) {
      this.report('configuration-in-force-never-reverts', `${record.edit} was applied twice`);
    }
    this.applied.set(record.edit, record.sheetVersion);
    const unexplained = listChangedRows(before, content.sheet).filter(
      (row) => !record.rows.includes(row),
    );
    if (unexplained.length > 0) {
      this.report(
        'configuration-in-force-never-reverts',
        `${record.edit} of ${record.operator} also changed ${unexplained.join(' ')} of ${name}`,
      );
    }
  }

  /** Handles the outcome of an edit that an operator has received. */
  handleOutcome({ edit, outcome }: EditCallRecord): void {
    if (this.rolledBack) {
      return;
    }
    const appliedAt = this.applied.get(edit.edit);
    if (outcome?.type === 'accepted' && appliedAt !== outcome.version) {
      this.report(
        'configuration-in-force-never-reverts',
        `${edit.edit} was accepted at version ${outcome.version} and stands at ${String(appliedAt)}`,
      );
    }
    const wasDenied = outcome?.type === 'refused' || outcome?.type === 'conflict';
    if (wasDenied && appliedAt !== undefined) {
      this.report(
        'configuration-in-force-never-reverts',
        `${edit.edit} was ${outcome.type} and stands at version ${appliedAt}`,
      );
    }
  }
}
