/** Runs operators of all partners that edit the same rows concurrently through different nodes. */
import { randomUUID } from 'node:crypto';
import { getHistory, getTable, postEdit } from '../cli/operator/operator-client.js';
import type { OperatorTarget } from '../cli/operator/operator-client.js';
import { identifier, type EditId } from '../core/identifiers.js';
import { demoSecret } from '../deployments/demo-keys.js';
import type { Deployment } from '../deployments/deployment.js';
import type { EditBody } from '../operator-protocol/edit-body.js';
import type { SheetBody } from '../operator-protocol/table-body.js';
import { pause } from './pause.js';

/** How long an edit with an unknown outcome is resent, in milliseconds. */
const RESEND_TIMEOUT_MS = 30_000;
const BETWEEN_EDITS_MS = 50;
const WEIGHTS = [1, 2, 3, 4, 5, 6, 7, 8] as const;

/** An edit with its final outcome. */
export interface RacedEdit {
  readonly partner: string;
  readonly edit: string;
  readonly outcome: 'accepted' | 'not-accepted' | 'unknown';
}

/** One operator that takes part in the race. */
interface Racer {
  readonly deployment: Deployment;
  readonly operator: number;
  readonly target: OperatorTarget;
}

const buildEdit = (sheet: SheetBody, turn: number, operator: number): EditBody | undefined => {
  const currentRow = sheet.rows[turn % sheet.rows.length];
  if (currentRow === undefined) {
    return undefined;
  }
  const weight = WEIGHTS[(turn + operator) % WEIGHTS.length] ?? 1;
  return {
    edit: identifier<EditId>(randomUUID()),
    reason: `race of operator ${operator}`,
    seenVersion: sheet.version,
    action: {
      type: 'change-rows',
      changes: [
        { type: 'set', row: { ...currentRow.row, weight }, basedOn: currentRow.rowVersion },
      ],
    },
  };
};

const readSheet = async (racer: Racer): Promise<SheetBody | undefined> => {
  const table = await getTable(racer.target);
  return table
    .toMaybe()
    .extract()
    ?.sheets.find(({ partner }) => partner === racer.deployment.partner);
};

const sendEdit = async (racer: Racer, body: EditBody): Promise<RacedEdit['outcome']> => {
  const answer = await postEdit(racer.target, body, RESEND_TIMEOUT_MS);
  return answer.caseOf<RacedEdit['outcome']>({
    Left: ({ isRetryable: passing }) => (passing ? 'unknown' : 'not-accepted'),
    Right: ({ type }) =>
      type === 'accepted' ? 'accepted' : type === 'unknown' ? 'unknown' : 'not-accepted',
  });
};

const race = async (racer: Racer, edits: number, raced: RacedEdit[]): Promise<void> => {
  for (let turn = 0; turn < edits; turn += 1) {
    const sheet = await readSheet(racer);
    const body = sheet && buildEdit(sheet, turn, racer.operator);
    if (body !== undefined) {
      const outcome = await sendEdit(racer, body);
      raced.push({ partner: racer.deployment.partner, edit: body.edit, outcome });
    }
    await pause(BETWEEN_EDITS_MS);
  }
};

/** Options of a race. */
export interface EditRaceOptions {
  readonly deployments: readonly Deployment[];
  /** Base URLs of operator ports, assigned to the operators in turn. */
  readonly operatorUrls: readonly string[];
  readonly operatorsPerPartner: number;
  readonly editsPerOperator: number;
}

/** Runs the race; resolves to all edits with their outcomes. */
export const raceEdits = async (options: EditRaceOptions): Promise<RacedEdit[]> => {
  const raced: RacedEdit[] = [];
  const racers = options.deployments.flatMap((deployment, place) =>
    Array.from({ length: options.operatorsPerPartner }, (_, operator): Racer => {
      const turn = place * options.operatorsPerPartner + operator;
      const url = options.operatorUrls[turn % options.operatorUrls.length] ?? '';
      const secret = demoSecret(deployment.partner, 'operator');
      return { deployment, operator, target: { url, secret } };
    }),
  );
  await Promise.all(racers.map((racer) => race(racer, options.editsPerOperator, raced)));
  return raced;
};

/**
 * Describes each edit whose number of entries in the history contradicts its outcome: accepted edits must
 * have one, rejected edits none, edits of unknown outcome at most one.
 */
export const findInconsistentEdits = async (
  raced: readonly RacedEdit[],
  deployment: Deployment,
  url: string,
): Promise<string[]> => {
  const secret = demoSecret(deployment.partner, 'operator');
  const answer = await getHistory({ url, secret }, deployment.partner);
  const history = answer.toMaybe().extract()?.history;
  if (history === undefined) {
    return [`cannot read the history of ${deployment.partner}`];
  }
  return raced
    .filter(({ partner }) => partner === deployment.partner)
    .flatMap(({ edit, outcome }) => {
      const times = history.filter((record) => record.edit === edit).length;
      const wanted = outcome === 'accepted' ? times === 1 : times === 0;
      const isConsistent = outcome === 'unknown' ? times <= 1 : wanted;
      return isConsistent
        ? []
        : [`edit ${edit} has outcome ${outcome} and ${times} history entries`];
    });
};
