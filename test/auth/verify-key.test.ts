import { describe, expect, it } from 'vitest';
import { readBearerSecret } from '../../src/auth/bearer-secret.js';
import { createKey } from '../../src/auth/create-key.js';
import { createRefusalLog } from '../../src/auth/refusal-log.js';
import { SECRET_LENGTH_LIMIT, verifyKey } from '../../src/auth/verify-key.js';
import { identifier, type PartnerId } from '../../src/core/identifiers.js';
import type { KeyRecord, PartnerKeys } from '../../src/table/partner-keys.js';

const ensemble = identifier<PartnerId>('ensemble');
const tawe = identifier<PartnerId>('tawe');

const keysOf = (...all: [PartnerId, KeyRecord[]][]): Map<PartnerId, PartnerKeys> =>
  new Map(all.map(([partner, keys]) => [partner, { partner, keys }]));

describe('verifyKey', () => {
  const director = createKey('director', 'caller');
  const almaz = createKey('almaz', 'operator');
  const rhys = createKey('rhys', 'operator');
  const keys = keysOf([ensemble, [director.record, almaz.record]], [tawe, [rhys.record]]);

  it('returns the partner, name and role of the key', () => {
    expect(verifyKey(keys, director.secret)).toEqual({
      partner: ensemble,
      name: 'director',
      role: 'caller',
    });
    expect(verifyKey(keys, rhys.secret)).toEqual({ partner: tawe, name: 'rhys', role: 'operator' });
  });

  it('refuses text that is not a secret in force', () => {
    const wrong = [
      '',
      'xrd_',
      almaz.record.sha256,
      almaz.secret.slice(0, -1),
      `${almaz.secret}x`,
      'x'.repeat(SECRET_LENGTH_LIMIT + 1),
    ];
    expect(wrong.map((secret) => verifyKey(keys, secret))).toEqual(wrong.map(() => undefined));
  });

  it('uses rotated keys without a restart', () => {
    const inForce = new Map(keys);
    expect(verifyKey(inForce, almaz.secret)?.name).toBe('almaz');
    const fresh = createKey('almaz', 'operator');
    inForce.set(ensemble, { partner: ensemble, keys: [fresh.record] });
    expect(verifyKey(inForce, almaz.secret)).toBeUndefined();
    expect(verifyKey(inForce, fresh.secret)?.name).toBe('almaz');
  });

  it('never accepts a malformed stored hash', () => {
    const malformed = ['', 'zz', '0'.repeat(63), 'A'.repeat(64), `${'0'.repeat(64)}0`];
    const records = malformed.map((sha256): KeyRecord => ({
      name: 'bad',
      role: 'operator',
      sha256,
    }));
    expect(verifyKey(keysOf([ensemble, records]), 'anything')).toBeUndefined();
  });
});

describe('readBearerSecret', () => {
  it('accepts only the bearer scheme', () => {
    expect(readBearerSecret('Bearer xrd_ab-c')).toBe('xrd_ab-c');
    expect(readBearerSecret('bearer xrd_abc')).toBe('xrd_abc');
    const refused = [undefined, '', 'Bearer', 'Basic abc', 'Bearer a b', 'Bearer \u0000'];
    expect(refused.map(readBearerSecret)).toEqual(refused.map(() => undefined));
  });
});

describe('createRefusalLog', () => {
  it('writes at most one line a second and counts the suppressed ones', () => {
    const lines: string[] = [];
    let now = 0;
    const log = createRefusalLog(
      (line) => lines.push(line),
      () => now,
    );
    log({ refusal: 'unknown', address: '127.0.0.1' });
    log({ refusal: 'unknown' });
    now = 1_000;
    log({ refusal: 'wrong-partner', key: { partner: tawe, name: 'rhys', role: 'operator' } });
    expect(lines).toEqual([
      'Refused a key from 127.0.0.1: unknown.',
      'Refused a key of tawe/rhys: wrong-partner. 1 more were not logged.',
    ]);
  });
});
