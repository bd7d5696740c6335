import { describe, expect, it } from 'vitest';
import { getLimitUse, usableAmount } from '../../src/core/admission/limit-use.js';
import { requestOwnGrant, applyGrant } from '../../src/core/admission/request-grant.js';
import { identifier, type NodeId } from '../../src/core/identifiers.js';
import { createMember } from '../../src/core/membership/state.js';
import { createCoreState } from '../../src/core/state.js';
import type { Grant } from '../../src/protocol/grant-messages.js';

const LIMIT = { row: 'ensemble/season-roster/page', bound: 'concurrent' } as const;

const identityOf = (name: string) => ({
  node: identifier<NodeId>(name),
  zone: identifier<never>('bole'),
  region: 'addis',
  address: { host: '127.0.0.1', port: 1 },
  incarnation: 1,
});

/**
 * Returns what a node may use that holds 5 until 100, requests a grant at 90 and gets an adopted grant
 * of 5 at `answeredAt`.
 */
const usableAfterAdoption = (answeredAt: number): number => {
  const state = createCoreState({ self: identityOf('bole-1'), seeds: [], seed: 1 });
  const holder = identityOf('bole-2');
  state.membership.members.set(holder.node, createMember(holder, 'alive', 0));
  state.admission.holders.set(LIMIT.row, {
    viewVersion: state.membership.viewVersion,
    holder: holder.node,
    asked: new Map(),
  });
  const use = getLimitUse(state, LIMIT, 0);
  const heldFrom = { node: holder.node, level: 'row' } as const;
  use.held = { amount: 5, sequence: 0, expiresAt: 100, validMs: 100, holder: heldFrom };
  const [sent] = requestOwnGrant(state, use, 90);
  expect(sent).toMatchObject({ message: { type: 'grant-request', holds: 5 } });
  const grant: Grant = {
    type: 'grant',
    limit: LIMIT,
    asker: 'node',
    amount: 5,
    sequence: state.admission.sequence,
    adopted: true,
    validMs: 8_000,
  };
  applyGrant(state, use, 0, holder.node, grant, answeredAt);
  return usableAmount(use, answeredAt);
};

describe('a grant that a new holder has adopted', () => {
  it('extends a grant that the node still holds', () => {
    expect(usableAfterAdoption(99)).toBe(5);
  });

  it('does not restore a grant that has lapsed meanwhile, as another node may have it', () => {
    expect(usableAfterAdoption(100)).toBe(0);
  });
});
