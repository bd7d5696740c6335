/** Checks the shape of messages between nodes. A message type without a check fails to compile. */
import { type Either, Left, Right } from 'purify-ts';
import type { MembershipMessage } from '../membership-messages.js';
import type { LinkMessage } from '../peer-message.js';
import {
  isGrant,
  isGrantRequest,
  isGrantReturn,
  isLeaseRequest,
  isLeaseVote,
} from './grant-shapes.js';
import { isLegBatch, isLegCancel, isLegResults } from './leg-shapes.js';
import {
  type Fields,
  isCount,
  isFields,
  isFiniteNumber,
  isListOf,
  isOptional,
  isText,
} from './shape.js';
import { isSheetDelta, isStoreObject } from './store-object-shape.js';

type Check = (value: Fields) => boolean;

const CLAIM_VERDICTS = ['granted', 'already-claimed', 'owner-not-ready'];
const MEMBER_STATES = ['alive', 'suspect', 'leaving', 'dead'];

const isPort = (value: unknown): boolean => isCount(value) && value > 0 && value <= 65_535;

const isIdentity = (value: unknown): boolean =>
  isFields(value) &&
  isText(value['node']) &&
  isText(value['zone']) &&
  isText(value['region']) &&
  isCount(value['incarnation']) &&
  isFields(value['address']) &&
  isText(value['address']['host']) &&
  isPort(value['address']['port']);

const isUpdate = (value: unknown): boolean =>
  isFields(value) &&
  isIdentity(value['identity']) &&
  MEMBER_STATES.includes(value['state'] as string);

const isDigest = (value: unknown): boolean =>
  isFields(value) && isCount(value['revision']) && typeof value['serving'] === 'boolean';

const isLeavingReplica = (value: unknown): boolean =>
  isFields(value) && isText(value['replica']) && isFiniteNumber(value['remainingMs']);

const hasPiggyback: Check = (value) =>
  isIdentity(value['sender']) &&
  isListOf(value['updates'], isUpdate) &&
  isOptional(value['leaving'], (leaving) => isListOf(leaving, isLeavingReplica)) &&
  isOptional(value['digest'], isDigest) &&
  isOptional(value['table'], isFiniteNumber);

const hasProbeFields: Check = (value) => hasPiggyback(value) && isCount(value['sequence']);

const LINK_CHECKS: { readonly [Type in LinkMessage['type']]: Check } = {
  'leg-batch': isLegBatch,
  'leg-cancel': isLegCancel,
  'leg-results': isLegResults,
  'configuration-push': (value) =>
    isCount(value['after']) &&
    isCount(value['through']) &&
    isListOf(value['objects'], isStoreObject) &&
    isOptional(value['deltas'], (deltas) => isListOf(deltas, isSheetDelta)),
  'configuration-pull': (value) => isCount(value['after']),
  'configuration-page': (value) =>
    isCount(value['after']) &&
    isListOf(value['objects'], isStoreObject) &&
    isOptional(value['next'], isCount) &&
    isCount(value['revision']),
  'store-answered': (value) => isCount(value['revision']),
  'grant-request': isGrantRequest,
  'grant-return': isGrantReturn,
  grant: isGrant,
  'lease-request': isLeaseRequest,
  'lease-vote': isLeaseVote,
  'claim-request': (value) =>
    isText(value['partner']) && isText(value['idempotencyKey']) && isText(value['request']),
  'membership-pull': (value) =>
    isIdentity(value['sender']) &&
    isListOf(value['buckets'], isFiniteNumber) &&
    isFiniteNumber(value['after']),
  'membership-page': (value) =>
    isIdentity(value['sender']) &&
    isListOf(value['updates'], isUpdate) &&
    isOptional(value['next'], isFiniteNumber),
  'claim-release': (value) =>
    isText(value['partner']) && isText(value['idempotencyKey']) && isText(value['request']),
  'claim-reply': (value) =>
    isText(value['request']) && CLAIM_VERDICTS.includes(value['verdict'] as string),
};

const DATAGRAM_CHECKS: { readonly [Type in MembershipMessage['type']]: Check } = {
  ping: hasProbeFields,
  'ping-request': (value) => hasProbeFields(value) && isText(value['target']),
  acknowledgement: (value) => hasProbeFields(value) && isText(value['subject']),
  gossip: hasPiggyback,
};

const checkAgainst = <Message>(
  checks: Readonly<Record<string, Check>>,
  value: unknown,
): Either<string, Message> => {
  if (!isFields(value) || !isText(value['type']) || !Object.hasOwn(checks, value['type'])) {
    return Left('has an unknown type');
  }
  const check = checks[value['type']];
  return check?.(value) === true
    ? Right(value as Message)
    : Left(`is not a well-formed ${value['type']}`);
};

/** Checks a message that arrived over a link. */
export const checkLinkMessage = (value: unknown): Either<string, LinkMessage> =>
  checkAgainst(LINK_CHECKS, value);

/** Checks a message that arrived as a datagram. */
export const checkDatagram = (value: unknown): Either<string, MembershipMessage> =>
  checkAgainst(DATAGRAM_CHECKS, value);
