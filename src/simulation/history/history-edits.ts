/** Sends the edits of a history. */
import { identifier, type EditId } from '../../core/identifiers.js';
import type { EditRequest } from '../../table/edit.js';
import type { RouteRow } from '../../table/route-row.js';
import { VIRTUAL_EPOCH_MS } from '../node-environment.js';
import type { Simulation } from '../simulation.js';
import type { Action } from './action.js';
import { pick } from './pick.js';

type ActionOf<Type extends Action['type']> = Extract<Action, { type: Type }>;

/** Names of the actions that edit the table. */
export type EditActionName = 'edit' | 'resend-edit' | 'race-edits';

/** Builds and sends edits, and keeps them so that they can be resent. */
export class HistoryEdits {
  private readonly sent: EditRequest[] = [];

  /**
   * @param rows - rows that actions choose from, by index
   * @param nodeName - returns the name of the node with an index
   */
  constructor(
    private readonly simulation: Simulation,
    private readonly rows: readonly RouteRow[],
    private readonly nodeName: (index: number) => string,
  ) {}

  /** Performs an operator's action. */
  apply(action: ActionOf<EditActionName>): void {
    switch (action.type) {
      case 'edit':
        this.send(action.node, this.buildEdit(action));
        return;
      case 'resend-edit':
        this.send(action.node, this.sent[action.edit]);
        return;
      case 'race-edits': {
        const { row, deadlineMs } = action;
        this.send(action.first, this.buildEdit({ row, deadlineMs, stale: false }));
        this.send(action.second, this.buildEdit({ row, deadlineMs: deadlineMs + 1, stale: false }));
      }
    }
  }

  private send(node: number, edit: EditRequest | undefined): void {
    if (edit !== undefined) {
      this.sent.push(edit);
      this.simulation.edit(this.nodeName(node), edit);
    }
  }

  private buildEdit({
    row: index,
    deadlineMs,
    stale,
  }: Omit<ActionOf<'edit'>, 'type' | 'node'>): EditRequest {
    const row = pick(this.rows, index);
    const object = this.simulation.store.model.read(`sheet/${row.partner}`);
    const content = object?.content;
    const rows = content?.type === 'sheet' ? content.sheet.rows : [];
    const current = rows.find((each) => each.row.route === row.route && each.row.kind === row.kind);
    const rowVersion = current?.rowVersion ?? 0;
    return {
      edit: identifier<EditId>(`edit-${this.sent.length + 1}`),
      partner: row.partner,
      operator: `operator-of-${row.partner}`,
      reason: 'history',
      seenVersion: object?.version ?? 0,
      writtenAt: VIRTUAL_EPOCH_MS + Math.floor(this.simulation.now),
      action: {
        type: 'change-rows',
        changes: [
          {
            type: 'set',
            row: { ...row, deadlineMs },
            basedOn: stale ? Math.max(0, rowVersion - 1) : rowVersion,
          },
        ],
      },
    };
  }
}
