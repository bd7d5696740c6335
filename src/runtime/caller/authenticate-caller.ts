/** Checks whether the key of a request allows queries on a partner's routes. */
import { type Either, Left, Right } from 'purify-ts';
import { readBearerSecret } from '../../auth/bearer-secret.js';
import type { KeyRefusal } from '../../auth/refusal-log.js';
import { verifyKey, type VerifiedKey } from '../../auth/verify-key.js';
import type { PartnerId } from '../../core/identifiers.js';
import type { PartnerKeys } from '../../table/partner-keys.js';
import type { Problem } from './problem.js';

/** A refusal: the problem for the caller, and the details for the log. */
export interface CallerRefusal {
  readonly refusal: KeyRefusal;
  readonly key?: VerifiedKey;
  readonly problem: Problem;
}

const unauthenticated = (refusal: KeyRefusal, detail: string): CallerRefusal => ({
  refusal,
  problem: { status: 401, title: 'Unauthenticated', detail, outcome: 'not-run', reason: refusal },
});

const forbidden = (refusal: KeyRefusal, key: VerifiedKey, detail: string): CallerRefusal => ({
  refusal,
  key,
  problem: { status: 403, title: 'Forbidden', detail, outcome: 'not-run', reason: refusal },
});

/** Checks the `authorization` header against the keys in force. */
export const authenticateCaller = (
  keys: ReadonlyMap<PartnerId, PartnerKeys>,
  partner: PartnerId,
  header: string | undefined,
): Either<CallerRefusal, VerifiedKey> => {
  const secret = readBearerSecret(header);
  if (secret === undefined) {
    return Left(unauthenticated('missing', 'The request carries no bearer key.'));
  }
  const key = verifyKey(keys, secret);
  if (key === undefined) {
    return Left(unauthenticated('unknown', 'The key is not in force.'));
  }
  if (key.role !== 'caller') {
    return Left(forbidden('wrong-role', key, "The key is no caller's key."));
  }
  if (key.partner !== partner) {
    return Left(forbidden('wrong-partner', key, 'The key belongs to another partner.'));
  }
  return Right(key);
};
