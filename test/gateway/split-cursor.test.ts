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
      new SplitCursor(random.next()).next(PARTS),
    );
    expect(shareOf(services, 'trial')).toBeGreaterThan(0.08);
    expect(shareOf(services, 'trial')).toBeLessThan(0.12);
  });

  it('get their shares over gateways with few requests each', () => {
    const random = createRandom(2);
    const services = Array.from({ length: 90 }, () => new SplitCursor(random.next())).flatMap(
      (cursor) => [1, 2, 3].map(() => cursor.next(PARTS)),
    );
    expect(shareOf(services, 'trial')).toBeGreaterThan(0.05);
    expect(shareOf(services, 'trial')).toBeLessThan(0.15);
  });

  it('get their shares in any run of one gateway, also right after the weights have changed', () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 0.999, noNaN: true }),
        fc.nat(50),
        fc.integer({ min: 1, max: 19 }),
        (place, before, weight) => {
          const cursor = new SplitCursor(place);
          Array.from({ length: before }, () => cursor.next(PARTS));
          const changed = [
            { service: 'main', weight: 20 - weight },
            { service: 'trial', weight },
          ];
          const services = Array.from({ length: 100 }, () => cursor.next(changed));
          expect(Math.abs(shareOf(services, 'trial') - weight / 20)).toBeLessThan(0.05);
        },
      ),
      { numRuns: 300, seed: 20_261_202 },
    );
  });

  it('get nothing where they have no weight', () => {
    const parts = [...PARTS, { service: 'off', weight: 0 }];
    const cursor = new SplitCursor(0.999);
    const services = Array.from({ length: 200 }, () => cursor.next(parts));
    expect(shareOf(services, 'off')).toBe(0);
    expect(new SplitCursor(0.5).next([{ service: 'off', weight: 0 }])).toBeUndefined();
  });
});
