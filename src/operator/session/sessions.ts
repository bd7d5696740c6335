/**
 * Stateless sessions of the web page. A session is a signed cookie with the operator, a fingerprint
 * of the key that opened it and an expiry time. Any node can verify it, so a session outlives the
 * node that opened it. The key record is looked up at each request, so the rotation of a key ends
 * its sessions at once. The cookie does not contain the key's secret.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import { z } from 'zod';
import type { VerifiedKey } from '../../auth/verify-key.js';
import { identifier, type PartnerId } from '../../core/identifiers.js';
import type { KeyRecord } from '../../table/partner-keys.js';
import type { OperatorContext } from '../operator-context.js';
import type { OperatorIdentity } from '../operator-identity.js';

/** Lifetime of a session, in milliseconds. */
export const SESSION_MS = 8 * 60 * 60 * 1_000;

/** Longest token that is verified, in characters. */
const TOKEN_LENGTH_LIMIT = 1_024;

const claimSchema = z.object({
  partner: z.string(),
  operator: z.string(),
  /** Fingerprint of the key record that opened the session; does not disclose the key's hash. */
  key: z.string(),
  /** Expiry time of the session, in milliseconds since 1970. */
  expiresAt: z.number(),
});

type SessionClaim = z.infer<typeof claimSchema>;

/** A verified session. */
export interface Session {
  readonly identity: OperatorIdentity;
  /** Token in each form, which other sites cannot know. */
  readonly formToken: string;
}

/** Opens and verifies sessions. */
export interface Sessions {
  /** Opens a session for an operator's key; returns the token for the cookie. */
  open(key: VerifiedKey): string;
  /** Verifies a token; undefined if it is forged or expired, or its key is no longer in force. */
  read(token: string | undefined): Session | undefined;
  /** Whether `formToken` is the form token of this session. */
  verifyFormToken(session: Session, formToken: string): boolean;
}

const sign = (secret: string, purpose: string, text: string): string =>
  createHmac('sha256', secret).update(`crossroad|${purpose}|${text}`).digest('base64url');

const isEqualInConstantTime = (left: string, right: string): boolean => {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
};

const parseClaim = (payload: string): SessionClaim | undefined => {
  try {
    const json: unknown = JSON.parse(Buffer.from(payload, 'base64url').toString('utf8'));
    return claimSchema.safeParse(json).data;
  } catch {
    return undefined;
  }
};

/** Creates the session service of an operator port. */
export const createSessions = (context: OperatorContext): Sessions => {
  const { sessionSecret } = context;

  const fingerprintKey = (record: KeyRecord): string => sign(sessionSecret, 'key', record.sha256);

  const findRecord = (partner: PartnerId, operator: string): KeyRecord | undefined =>
    context
      .state()
      .configuration.inForce.keys.get(partner)
      ?.keys.find((record) => record.name === operator && record.role === 'operator');

  const formTokenOf = (claim: SessionClaim): string =>
    sign(sessionSecret, 'form', JSON.stringify([claim.partner, claim.operator, claim.key]));

  const verifyClaim = (claim: SessionClaim): Session | undefined => {
    const partner = identifier<PartnerId>(claim.partner);
    const record = findRecord(partner, claim.operator);
    if (record === undefined || !isEqualInConstantTime(fingerprintKey(record), claim.key)) {
      return undefined;
    }
    const isOver = claim.expiresAt <= context.now();
    return isOver
      ? undefined
      : { identity: { partner, operator: claim.operator }, formToken: formTokenOf(claim) };
  };

  return {
    open(key) {
      const record = findRecord(key.partner, key.name);
      const claim: SessionClaim = {
        partner: key.partner,
        operator: key.name,
        key: record === undefined ? '' : fingerprintKey(record),
        expiresAt: context.now() + SESSION_MS,
      };
      const payload = Buffer.from(JSON.stringify(claim)).toString('base64url');
      return `${payload}.${sign(sessionSecret, 'session', payload)}`;
    },
    read(token) {
      if (token === undefined || token.length > TOKEN_LENGTH_LIMIT) {
        return undefined;
      }
      const [payload = '', signature = ''] = token.split('.');
      if (!isEqualInConstantTime(sign(sessionSecret, 'session', payload), signature)) {
        return undefined;
      }
      const claim = parseClaim(payload);
      return claim === undefined ? undefined : verifyClaim(claim);
    },
    verifyFormToken: (session, formToken) => isEqualInConstantTime(session.formToken, formToken),
  };
};
