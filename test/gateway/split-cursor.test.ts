import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createRandom } from '../../src/core/random.js';
import type { SplitPart } from '../../src/gateway/model/route.js';
import { SplitCursor } from '../../src/gateway/routing/split-cursor.js';

const PARTS: readonly SplitPart[] = [
  { service: 'main', weight: 9 },
  { service: 'trial', weight: 1 },
];

const shareOf = (services: readonly (string | undefined)[], service: string): number =>
  services.filter((each) => each === service).length / services.length;

describe('the parts of a split', () => {
  it('get their shares over many gateways with one request each', () => {
    const random = createRandom(1);
    const services = Array.from({ length: 3_000 }, () =>
      new SplitCursor(PARTS, random.next()).next(),
    );
    expect(shareOf(services, 'trial')).toBeGreaterThan(0.08);
    expect(shareOf(services, 'trial')).toBeLessThan(0.12);
  });

  it('get their shares over gateways with few requests each', () => {
    const random = createRandom(2);
    const services = Array.from(
      { length: 90 },
      () => new SplitCursor(PARTS, random.next()),
    ).flatMap((cursor) => [1, 2, 3].map(() => cursor.next()));
    expect(shareOf(services, 'trial')).toBeGreaterThan(0.05);
    expect(shareOf(services, 'trial')).toBeLessThan(0.15);
  });

  it('get their shares in any sequence of requests of one gateway, within one request', () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 0.999, noNaN: true }),
        fc.integer({ min: 1, max: 19 }),
        fc.integer({ min: 1, max: 100 }),
        (entry, weight, requests) => {
          const parts = [
            { service: 'main', weight: 20 - weight },
            { service: 'trial', weight },
          ];
          const cursor = new SplitCursor(parts, entry);
          const services = Array.from({ length: requests }, () => cursor.next());
          const count = services.filter((each) => each === 'trial').length;
          expect(Math.abs(count - (requests * weight) / 20)).toBeLessThanOrEqual(1);
        },
      ),
      { numRuns: 300, seed: 20_261_202 },
    );
  });

  it('get no requests if their weight is 0', () => {
    const parts = [...PARTS, { service: 'off', weight: 0 }];
    const cursor = new SplitCursor(parts, 0.999);
    const services = Array.from({ length: 200 }, () => cursor.next());
    expect(shareOf(services, 'off')).toBe(0);
    expect(new SplitCursor([{ service: 'off', weight: 0 }], 0.5).next()).toBeUndefined();
  });
});
