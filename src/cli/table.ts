/** `crossroad table`: reads and edits the operators' table. */
import type { Command } from './command.js';
import type { ExitCode } from './exit-code.js';
import { defineCommand, UsageError } from './flags.js';
import { OPERATOR_HELP } from './operator/operator-flags.js';
import { approveAgreement, proposeAgreement, replaceKeys } from './table/agreement-actions.js';
import { diffSheet, exportSheet, showHistory, showTable } from './table/read-actions.js';
import { parseTableArguments, type TableArguments } from './table/table-arguments.js';
import { applySheet, importSheet, removeRow, setRow } from './table/write-actions.js';

const HELP = `Usage: crossroad table <action> [options]

Reads:
  show                         the table in force at the node
  export                       one sheet as CSV; its version goes to standard error
  history                      edits: who changed what, when and why
  diff <file>                  rows that applying a CSV file would change

Writes (only to rows of your own partner; each needs --reason):
  apply <file>                 replaces the sheet by the file; rows not in the file are removed
  import <file>                adds and changes the rows of the file; other rows are kept
  set <route/kind> <column=value>...   changes or creates a row
  remove <route/kind>          removes a row
  propose <name> <partner=share>...    proposes a division of the pool
  approve <name>               approves the current version of a proposal
  keys <file>                  replaces all keys by a JSON list of key records

Options:
${OPERATOR_HELP}
  --partner <name>       show, export, history: owner of the sheet (default your own; show: all)
  --reason <text>        reason for the edit, kept in the history
  --based-on <version>   apply, import: version of the sheet from which the file was made;
                         rows written since then are reported as conflicts;
                         set, remove: version of the row; keys: version of the keys
  --wait                 wait until the edit is in force on all live nodes; print
                         those where it is not
  --wait-seconds <n>     longest wait (default 10)
  --last <n>             history: only the newest n edits
  --edit <id>            id of the edit; history: exit 0 if the edit is in the store, 1 if not

Exit codes: 0 done, 1 refused, conflict, unknown outcome or not in force everywhere,
2 usage, 78 findings.`;

type Action = (args: TableArguments) => Promise<ExitCode>;

const ACTIONS: ReadonlyMap<string, Action> = new Map<string, Action>([
  ['show', showTable],
  ['export', exportSheet],
  ['history', showHistory],
  ['diff', diffSheet],
  ['apply', applySheet],
  ['import', importSheet],
  ['set', setRow],
  ['remove', removeRow],
  ['propose', proposeAgreement],
  ['approve', approveAgreement],
  ['keys', replaceKeys],
]);

/** The subcommand `table`. */
export const tableCommand: Command = defineCommand({
  name: 'table',
  summary: 'read and edit the table of routes, weights and limits',
  help: HELP,
  run: async ([name, ...rest]) => {
    const action = name === undefined ? undefined : ACTIONS.get(name);
    if (action === undefined) {
      throw new UsageError(`the action must be one of ${[...ACTIONS.keys()].join(', ')}`);
    }
    return action(parseTableArguments(rest));
  },
});
