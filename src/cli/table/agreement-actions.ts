/** Actions of `crossroad table` on the agreement and the keys. */
import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { identifier, type PartnerId } from '../../core/identifiers.js';
import type { PoolShare } from '../../table/agreement.js';
import type { KeyRecord } from '../../table/partner-keys.js';
import { ExitCode } from '../exit-code.js';
import { UsageError } from '../flags.js';
import { getStatus, getTable } from '../operator/operator-client.js';
import { reportProblem, printError } from './print.js';
import { sendEdit } from './send-edit.js';
import { readOperand, readReason, type TableArguments } from './table-arguments.js';

const SHARE_FORM = 'shares as partner=share, e.g. ensemble=0.6 tawe=0.4';

const readShare = (text: string): PoolShare => {
  const [partner, share, ...rest] = text.split('=');
  const value = Number(share);
  if (!partner || !share || rest.length > 0 || Number.isNaN(value)) {
    throw new UsageError(`expected ${SHARE_FORM}`);
  }
  return { partner: identifier<PartnerId>(partner), share: value };
};

/**
 * `propose`: proposes shares of the pool, which includes the approval of the operator's partner.
 */
export const proposeAgreement = async (args: TableArguments): Promise<ExitCode> => {
  const [proposal, ...rest] = args.operands;
  if (proposal === undefined || rest.length === 0) {
    throw new UsageError(`expected a name for the proposal, then ${SHARE_FORM}`);
  }
  readReason(args);
  const shares = rest.map(readShare);
  const table = await getTable(args.target);
  return table.caseOf<Promise<ExitCode> | ExitCode>({
    Left: reportProblem,
    Right: ({ agreement }) =>
      sendEdit(args, { type: 'propose-agreement', proposal, shares }, agreement.version),
  });
};

/** `approve`: approves the current shares of a proposal. */
export const approveAgreement = async (args: TableArguments): Promise<ExitCode> => {
  const proposal = readOperand(args, 'proposal name');
  readReason(args);
  const table = await getTable(args.target);
  return table.caseOf<Promise<ExitCode> | ExitCode>({
    Left: reportProblem,
    Right: ({ agreement }) => {
      const found = agreement.proposals.find((each) => each.proposal === proposal);
      if (found === undefined) {
        printError(`crossroad table: there is no proposal ${proposal}`);
        return ExitCode.failed;
      }
      const { shares } = found;
      return sendEdit(args, { type: 'approve-agreement', proposal, shares }, agreement.version);
    },
  });
};

const keyFileSchema = z.array(
  z.object({ name: z.string(), role: z.enum(['caller', 'operator']), sha256: z.string() }),
);

const readKeys = (file: string): readonly KeyRecord[] => {
  try {
    return keyFileSchema.parse(JSON.parse(readFileSync(file, 'utf8')));
  } catch (error) {
    const reason = error instanceof z.ZodError ? z.prettifyError(error) : String(error);
    throw new UsageError(`${file} must contain a JSON list of key records: ${reason}`);
  }
};

/** `keys`: replaces all keys of the operator's partner by the records in a file. */
export const replaceKeys = async (args: TableArguments): Promise<ExitCode> => {
  const keys = readKeys(readOperand(args, 'JSON file of key records'));
  readReason(args);
  const [table, status] = [await getTable(args.target), await getStatus(args.target)];
  return table
    .chain(({ partner }) => status.map(({ objects }) => ({ partner, objects })))
    .caseOf<Promise<ExitCode> | ExitCode>({
      Left: reportProblem,
      Right: ({ partner, objects }) => {
        const held = objects.find(({ name }) => name === `keys/${partner}`);
        const basedOn = args.basedOn ?? held?.version ?? 0;
        return sendEdit(args, { type: 'replace-keys', keys, basedOn }, basedOn);
      },
    });
};
