/** Checks of edits: an accepted one stands in its sheet's history, once, and only its owner's. */
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

/** Follows the sheets as the store holds them. */
export class EditChecks {
  private readonly sheets = new Map<string, Sheet>();
  /** The sheet version at which each edit was applied. */
  private readonly applied = new Map<string, number>();
  private lastRevision = 0;
  /**
   * The store has forgotten writes, which nodes write back: what it wrote no longer tells what was
   * applied. That no node goes back to an older object is checked all the same.
   */
  private rolledBack = false;

  constructor(private readonly report: ReportViolation) {}

  /** The store has accepted a write. */
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

  /** An operator was told what became of an edit. */
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
