/** Arguments of `crossroad table`. */
import { parseArgs } from 'node:util';
import { readNumber, UsageError } from '../flags.js';
import type { OperatorTarget } from '../operator/operator-client.js';
import { OPERATOR_OPTIONS, readOperatorTarget } from '../operator/operator-flags.js';

/** Default timeout of the wait for an edit to be in force on all nodes, in seconds. */
const DEFAULT_WAIT_SECONDS = 10;
const WAIT_BOUNDS = { min: 0, max: 3_600 } as const;
const COUNT_BOUNDS = { min: 1, max: 100_000, integer: true } as const;
const VERSION_BOUNDS = { min: 0, max: Number.MAX_SAFE_INTEGER, integer: true } as const;

const OPTIONS = {
  ...OPERATOR_OPTIONS,
  partner: { type: 'string' },
  reason: { type: 'string' },
  wait: { type: 'boolean', default: false },
  'wait-seconds': { type: 'string' },
  'based-on': { type: 'string' },
  last: { type: 'string' },
  edit: { type: 'string' },
} as const;

/** The parsed arguments of an action. */
export interface TableArguments {
  readonly target: OperatorTarget;
  /** Arguments after the action's name. */
  readonly operands: readonly string[];
  readonly json: boolean;
  readonly partner: string | undefined;
  readonly reason: string | undefined;
  /**
   * Timeout of the wait for an edit to be in force on all nodes, in milliseconds; 0 for no wait.
   */
  readonly waitMs: number;
  /** Version of the sheet, row or keys on which the edit is based. */
  readonly basedOn: number | undefined;
  readonly last: number | undefined;
  readonly edit: string | undefined;
}

const readWait = (wait: boolean, seconds: string | undefined): number => {
  if (!wait) {
    return 0;
  }
  const given = seconds === undefined ? DEFAULT_WAIT_SECONDS : undefined;
  return (given ?? readNumber('wait-seconds', seconds ?? '', WAIT_BOUNDS)) * 1_000;
};

/** Parses the arguments after the action's name. */
export const parseTableArguments = (args: readonly string[]): TableArguments => {
  const { values, positionals } = parseArgs({
    args: [...args],
    options: OPTIONS,
    allowPositionals: true,
  });
  const basedOn = values['based-on'];
  return {
    target: readOperatorTarget(values),
    operands: positionals,
    json: values.json,
    partner: values.partner,
    reason: values.reason,
    waitMs: readWait(values.wait, values['wait-seconds']),
    basedOn: basedOn === undefined ? undefined : readNumber('based-on', basedOn, VERSION_BOUNDS),
    last: values.last === undefined ? undefined : readNumber('last', values.last, COUNT_BOUNDS),
    edit: values.edit,
  };
};

/** Returns the only operand; throws a `UsageError` unless there is exactly one. */
export const readOperand = (args: TableArguments, meaning: string): string => {
  const [operand, ...rest] = args.operands;
  if (operand === undefined || rest.length > 0) {
    throw new UsageError(`expected exactly one ${meaning}`);
  }
  return operand;
};

/** Returns the reason of an edit; throws a `UsageError` if there is none. */
export const readReason = (args: TableArguments): string => {
  const reason = args.reason?.trim();
  if (reason === undefined || reason === '') {
    throw new UsageError('--reason is required; the history keeps it');
  }
  return reason;
};
