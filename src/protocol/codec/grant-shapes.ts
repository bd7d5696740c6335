/** Checks the shape of messages about limits. */
import { type Fields, isCount, isFields, isFiniteNumber, isText } from './shape.js';

const BOUNDS = ['concurrent', 'per-second'];

const REQUESTERS = ['node', 'group', 'zone'];
const LEVELS = ['group', 'zone', 'row'];

const isAmount = (value: unknown): boolean => isFiniteNumber(value) && (value as number) >= 0;

const isLimitKey = (value: unknown): boolean =>
  isFields(value) && isText(value['row']) && BOUNDS.includes(value['bound'] as string);

const isGranteeMessage = (value: Fields): boolean =>
  isLimitKey(value['limit']) &&
  REQUESTERS.includes(value['asker'] as string) &&
  LEVELS.includes(value['asked'] as string) &&
  isCount(value['process']) &&
  isCount(value['sequence']) &&
  isAmount(value['used']);

/** True for the fields of a `grant-request`. */
export const isGrantRequest = (value: Fields): boolean =>
  isGranteeMessage(value) &&
  isAmount(value['demand']) &&
  isAmount(value['holds']) &&
  isCount(value['heldSequence']);

/** True for the fields of a `grant-return`. */
export const isGrantReturn = (value: Fields): boolean => isGranteeMessage(value);

/** True for the fields of a `grant`. */
export const isGrant = (value: Fields): boolean =>
  isLimitKey(value['limit']) &&
  REQUESTERS.includes(value['asker'] as string) &&
  isAmount(value['amount']) &&
  isCount(value['sequence']) &&
  typeof value['adopted'] === 'boolean' &&
  isAmount(value['validMs']);

/** True for the fields of a `lease-request`. */
export const isLeaseRequest = (value: Fields): boolean =>
  isText(value['row']) &&
  isText(value['candidate']) &&
  isCount(value['sequence']) &&
  typeof value['release'] === 'boolean';

/** True for the fields of a `lease-vote`. */
export const isLeaseVote = (value: Fields): boolean =>
  isText(value['row']) &&
  isCount(value['sequence']) &&
  typeof value['granted'] === 'boolean' &&
  typeof value['first'] === 'boolean';
