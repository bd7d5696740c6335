import { describe, expect, it } from 'vitest';
import { simulateStoreOutage, type OutageKind } from './store-outage.js';

const OUTAGE_MS = 600_000;
const EDITS = 6;

describe('a store outage of 10 minutes', () => {
  it.each<[OutageKind, number]>([
    ['refuses', 1],
    ['refuses', 6],
    ['unreachable', 1],
    ['unreachable', 2],
  ])(
    'loses no query and no member, and causes at most two requests per zone in the second after it (%s, seed %i)',
    (kind, seed) => {
      const result = simulateStoreOutage(seed, kind, OUTAGE_MS);
      expect(result.queries).toBeGreaterThan(OUTAGE_MS / 1_000);
      expect(result.queriesLost).toBe(0);
      expect(result.membersLost).toBe(0);
      expect(result.requestsOfZone).toBeLessThanOrEqual(2);
      expect(result.inForceMs).toHaveLength(EDITS);
      expect(Math.max(...result.inForceMs)).toBeLessThanOrEqual(3_000);
      expect(result.violations).toEqual([]);
    },
  );
});
