import { describe, expect, it } from 'vitest';
import { findCause } from '../../src/gateway/explain/find-cause.js';
import { findRequestLines } from '../../src/gateway/explain/read-lines.js';

const line = (time: number, fields: Readonly<Record<string, unknown>>): string =>
  JSON.stringify({ time, node: 'front-1', requestId: 'r-1', agoMs: 0, ...fields });

const sent = (attempt: number, replica: string, reason = 'first'): string =>
  line(attempt, { event: 'attempt-sent', attempt, replica, reason, service: 'shard-a' });

const ended = (attempt: number, replica: string, outcome: string, dropped = false): string =>
  line(50, { event: 'attempt-ended', attempt, replica, outcome, elapsedMs: 40, dropped });

const answered = (fields: Readonly<Record<string, unknown>>): string =>
  line(90, { event: 'request-answered', missing: [], objectiveMs: 100, elapsedMs: 87, ...fields });

const explain = (texts: readonly string[]): string =>
  findCause(findRequestLines(texts, 'r-1').lines);

describe('explain', () => {
  it('reads the lines of several nodes in order and ignores their prefixes', () => {
    const texts = [`  12.3 front-1 ${sent(2, 'b')}`, sent(1, 'a'), 'other'];
    const { lines, malformed } = findRequestLines(texts, 'r-1');
    expect(lines.map(({ time }) => time)).toEqual([1, 2]);
    expect(malformed).toBe(0);
    expect(findRequestLines(['{"time" broken'], 'r-1').malformed).toBe(1);
  });

  it('names a restore of the store shortly before a request', () => {
    const admitted = line(1, {
      event: 'request-admitted',
      version: 23,
      versionAgeMs: 14_300,
      storeReturnedMsAgo: 8_800,
    });
    expect(explain([admitted, answered({ outcome: 'whole', elapsedMs: 5 })])).toContain(
      'routed by version 23, in force for 14300 ms; the store had been restored from a backup 8800 ms before',
    );
  });

  it('names the replicas of a missing shard', () => {
    const partial = answered({ outcome: 'partial', missing: ['shard-a'] });
    const texts = [sent(1, 'a'), sent(2, 'b', 'hedge'), ended(1, 'a', 'reset'), partial];
    expect(explain(texts)).toBe(
      'answered after 87 of 100 ms without 1 shards; shard-a: a (first): reset after 40 ms, b (hedge): no answer in time',
    );
  });

  it('names the margin of a partial answer and what waiting would have gained and risked', () => {
    const timing = { marginMs: 13, isMeasured: true };
    const weighed = { ...timing, expectedParts: 0.02, lateShare: 0.01, lateShareThen: 0.05 };
    const partial = answered({ outcome: 'partial', missing: ['shard-a'], timing: weighed });
    expect(explain([sent(1, 'a'), partial])).toContain(
      '(measured margin of 13 ms; waiting: 0.02 more parts expected, risk of being late 0.05 instead of 0.01); shard-a',
    );
    const due = answered({ outcome: 'partial', missing: ['shard-a'], timing });
    expect(explain([sent(1, 'a'), due])).toContain('shards (measured margin of 13 ms); shard-a');
  });

  it('names the reason of a refusal and a denied budget', () => {
    const denied = line(60, { event: 'budget-denied', service: 'shard-a', left: 0 });
    const refused = answered({ outcome: 'refused', reason: 'deadline', missing: ['shard-a'] });
    expect(explain([sent(1, 'a'), denied, refused])).toContain('(deadline); shard-a: a (first)');
    expect(explain([sent(1, 'a'), denied, refused])).toContain('denied by the retry budget');
  });

  it('names the time that a stopping gateway had left', () => {
    const stop = { sinceMs: 4_900, leftMs: 600, neededMs: 1_250 };
    const refused = answered({ outcome: 'refused', reason: 'stopping', stop });
    expect(explain([refused])).toBe(
      'refused: the gateway had been stopping for 4900 ms and had 600 ms left, too little for a route whose requests may take 1250 ms',
    );
  });

  it.each([
    [
      0,
      'key-missing',
      'refused: the request has no API key, and version 7, in force for 2400 ms, requires one on route desk',
    ],
    [
      1,
      'key-unknown',
      'refused: no tenant of version 7, in force for 2400 ms, holds the API key of the request on route desk',
    ],
    [
      2,
      'key-unknown',
      'refused: the request on route desk has several different API keys; version 7, in force for 2400 ms',
    ],
  ])('names the version that refused a request with %i keys', (keys, reason, cause) => {
    const refusedKey = { route: 'desk', keys, version: 7, versionAgeMs: 2_400 };
    expect(explain([answered({ outcome: 'refused', reason, refusedKey })])).toBe(cause);
  });

  it('names the waits for which a request was refused at once, and an attempt that was dropped', () => {
    const lacking = line(1, {
      event: 'room-lacking',
      rank: 1_001,
      shards: 12,
      maxMissing: 4,
      waitMs: 1_900,
      leftMs: 1_150,
      isSent: false,
    });
    const refused = answered({ outcome: 'refused', reason: 'no-room', missing: ['shard-a'] });
    expect(explain([lacking, refused])).toBe(
      'refused at once (no-room); at 12 shards, of which 4 may be missing, requests of its class (rank 1001) were expected to wait longer than the 1150 ms left (1900 ms at the shard that decides), so it was not sent',
    );
    const dropped = line(80, {
      event: 'attempt-dropped',
      service: 'shard-a',
      waitedMs: 580,
      leftMs: 6,
    });
    expect(explain([dropped, refused])).toContain(
      'shard-a: no attempt started; an attempt waited 580 ms for room at the replicas and was dropped 6 ms before the deadline',
    );
  });

  it('names the quota of a tenant, who decided and how long ago', () => {
    const limit = {
      tenant: 'acme',
      ratePerSecond: 2,
      burst: 4,
      decidedBy: 'front-3',
      decidedMsAgo: 120,
      tokenInMs: 380,
    };
    expect(explain([answered({ outcome: 'refused', reason: 'over-limit', limit })])).toBe(
      'refused: tenant acme (2 per second, burst 4) had used up its quota, as decided by front-3, 120 ms before; next token expected in 380 ms; see tenant-over-limit at front-3',
    );
    const unavailable = { ...limit, decidedBy: '' };
    expect(
      explain([answered({ outcome: 'refused', reason: 'limit-unavailable', limit: unavailable })]),
    ).toBe(
      'refused: no gateway that keeps the quota of tenant acme (2 per second, burst 4) answered',
    );
  });

  it('names the target that matches no route, and the age of the version in force', () => {
    const noRoute = { host: 'shop.example', path: '/none/x', version: 7, versionAgeMs: 2_400 };
    const refused = answered({ outcome: 'refused', reason: 'no-route', noRoute });
    expect(explain([refused])).toBe(
      'refused: no route of version 7, in force for 2400 ms, matches shop.example/none/x',
    );
  });

  it('names the reason of a refusal before any attempt was sent', () => {
    const refused = answered({ outcome: 'refused', reason: 'body-too-large', objectiveMs: 0 });
    expect(explain([refused])).toBe(
      'refused after 87 ms (body-too-large) before an attempt was sent',
    );
  });

  it('names a request that is blocked because it crashes replicas, and the time left', () => {
    const blocked = { fingerprint: '00ff', rounds: 3, level: 1, forMs: 41_000 };
    const refused = answered({ outcome: 'refused', reason: 'crashes-replicas', blocked });
    expect(explain([refused])).toBe(
      'refused: this request (fingerprint 00ff) crashed replicas in 3 consecutive rounds and none answered it; it is blocked for 41000 ms more (block 1), then sent to one replica as a trial',
    );
  });

  it('names the age of the key confirmation of a gateway that may not know of a removed key', () => {
    const unconfirmed = { ageMs: 5_210, source: 'front-2', limitMs: 4_850, version: 12 };
    const reason = 'keys-unconfirmed';
    expect(explain([answered({ outcome: 'refused', reason, unconfirmed })])).toBe(
      'refused: API keys may have been removed from version 12 without this gateway knowing it; it last confirmed them 5210 ms before (source: front-2), and 4850 ms are allowed: see keys-unconfirmed',
    );
    const never = { limitMs: 4_850, version: 12 };
    expect(explain([answered({ outcome: 'refused', reason, unconfirmed: never })])).toContain(
      'it had not confirmed them since it started',
    );
  });

  it('names the replicas that a request crashed', () => {
    const crashed = line(55, { event: 'attempt-crashed', attempt: 1, replica: 'a' });
    const refused = answered({
      outcome: 'refused',
      reason: 'replicas-crashed',
      missing: ['shard-a'],
    });
    expect(explain([sent(1, 'a'), ended(1, 'a', 'reset'), crashed, refused])).toBe(
      'refused after 87 of 100 ms (replicas-crashed); shard-a: a (first): reset after 40 ms; replicas that crashed while running it: a',
    );
  });

  it('names the last part of a late answer, and a caller that closed its connection', () => {
    expect(explain([sent(1, 'a'), ended(1, 'a', 'answered'), answered({ outcome: 'whole' })])).toBe(
      'answered in full after 87 of 100 ms; the last part came from a after 40 ms',
    );
    expect(explain([line(9, { event: 'caller-left', elapsedMs: 9 })])).toContain(
      'the caller closed its connection after 9 ms',
    );
    expect(explain([])).toContain('no log line about the request');
  });
});
