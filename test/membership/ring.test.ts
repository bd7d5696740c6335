import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { identifier, type NodeId } from '../../src/core/identifiers.js';
import { writeMember } from '../../src/core/membership/change-member.js';
import { listRing } from '../../src/core/membership/ring.js';
import { createMembershipState } from '../../src/core/membership/state.js';
import type { MemberState } from '../../src/protocol/membership-messages.js';
import type { NodeIdentity } from '../../src/protocol/node-address.js';

const SEED = 7;

const identityOf = (index: number, incarnation: number): NodeIdentity => ({
  node: identifier<NodeId>(`node-${index}`),
  zone: identifier('bole'),
  region: 'addis',
  address: { host: `host-${index}`, port: 7_000 + (incarnation % 2) },
  incarnation,
});

const write = fc.record({
  index: fc.nat({ max: 12 }),
  incarnation: fc.nat({ max: 5 }),
  state: fc.constantFrom<MemberState>('alive', 'suspect', 'leaving', 'dead'),
  looks: fc.boolean(),
});

describe('the probe ring', () => {
  it('holds the live members in the same order as a rebuilt ring after any sequence of writes', () => {
    fc.assert(
      fc.property(fc.array(write, { maxLength: 60 }), (writes) => {
        const membership = createMembershipState(identityOf(0, 1));
        for (const { index, incarnation, state, looks } of writes) {
          writeMember(membership, identityOf(index, incarnation), state, 0);
          if (looks) {
            listRing(membership);
          }
        }
        const updated = [...listRing(membership)];
        const rebuilt = [...listRing({ ...membership, ringVersion: -1 })];
        expect(updated).toEqual(rebuilt);
        expect(new Set(updated).size).toBe(updated.length);
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});
