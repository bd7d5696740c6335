/** Sends the edits of a simulated scenario and measures when they are in force on live nodes. */
import { type EditId, identifier, type PartnerId } from '../../core/identifiers.js';
import type { EditStep } from '../../experiment/scenario.js';
import type { EditInForce } from '../../experiment/scenario-result.js';
import type { EditRequest } from '../../table/edit.js';
import type { EditCallRecord } from '../call-record.js';
import { VIRTUAL_EPOCH_MS } from '../node-environment.js';
import type { Simulation } from '../simulation.js';

/** Interval of the checks whether an edit is in force, in milliseconds; limits their resolution. */
const CHECK_INTERVAL_MS = 10;

interface WatchedEdit {
  readonly partner: string;
  readonly record: EditCallRecord;
  inForceAt?: number;
}

/** Returns whether every live node holds all changes up to `revision`. */
export const isInForce = (simulation: Simulation, revision: number): boolean => {
  for (const { state, processState } of simulation.nodes.values()) {
    const isLive = processState === 'running' && state?.phase === 'serving';
    if (isLive && state.configuration.revision < revision) {
      return false;
    }
  }
  return true;
};

/** Sends edits and checks when they are in force. */
export class ScenarioEdits {
  private readonly watched: WatchedEdit[] = [];

  constructor(private readonly simulation: Simulation) {}

  /** Sends an edit to a live node. */
  send(step: EditStep): void {
    const node = [...this.simulation.nodes.values()].find(
      ({ processState }) => processState === 'running',
    );
    const edit = this.buildEdit(step);
    if (node === undefined || edit === undefined) {
      return;
    }
    const watched: WatchedEdit = {
      partner: step.partner,
      record: this.simulation.edit(node.name, edit),
    };
    this.watched.push(watched);
    this.check(watched);
  }

  /** Returns the time that each edit took to be in force; absent for an edit that is not. */
  listInForce(): EditInForce[] {
    return this.watched.map(({ partner, record, inForceAt }) => ({
      partner,
      ...(inForceAt !== undefined && { inForceMs: inForceAt - record.sentAt }),
    }));
  }

  private check(watched: WatchedEdit): void {
    const { outcome } = watched.record;
    if (outcome?.type === 'accepted' && isInForce(this.simulation, outcome.revision)) {
      watched.inForceAt = this.simulation.now;
      return;
    }
    this.simulation.after(CHECK_INTERVAL_MS, () => {
      this.check(watched);
    });
  }

  private buildEdit(step: EditStep): EditRequest | undefined {
    const object = this.simulation.store.model.read(`sheet/${step.partner}`);
    const rows = object?.content.type === 'sheet' ? object.content.sheet.rows : [];
    const current = rows.find(
      ({ row }) => row.route === step.route && row.kind === step.requestKind,
    );
    if (object === undefined || current === undefined) {
      return undefined;
    }
    const row = { ...current.row, weight: step.weight };
    return {
      edit: identifier<EditId>(`edit-${this.watched.length + 1}`),
      partner: identifier<PartnerId>(step.partner),
      operator: `operator-of-${step.partner}`,
      reason: 'scenario',
      seenVersion: object.version,
      writtenAt: VIRTUAL_EPOCH_MS + Math.floor(this.simulation.now),
      action: {
        type: 'change-rows',
        changes: [{ type: 'set', row, basedOn: current.rowVersion }],
      },
    };
  }
}
