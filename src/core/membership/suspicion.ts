/**
 * Suspicions, which precede a declaration of death. The node whose own probe failed (the observer)
 * keeps probing the suspect and declares it dead if no answer arrives in time. The other nodes wait
 * longer, for the result of the observer, so that a refutation has to reach the observers only.
 */
import type { NodeIdentity } from '../../protocol/node-address.js';
import type { Effect } from '../effect.js';
import type { NodeId } from '../identifiers.js';
import type { CoreState } from '../state.js';
import { REPORTED_SUSPICION_MS, LATE_TIMER_MS, OBSERVED_SUSPICION_MS } from './bounds.js';
import { writeMember } from './change-member.js';
import { armGossip, sendUrgentGossip } from './gossip.js';
import type { MembershipState, Suspicion } from './state.js';

const armSuspicion = (node: NodeId, suspicion: Suspicion): Effect => ({
  type: 'set-timer',
  key: { purpose: 'membership-suspicion', subject: node },
  at: suspicion.dueAt,
});

/** Ends a suspicion, if there is one. */
export const endSuspicion = (membership: MembershipState, node: NodeId): Effect[] =>
  membership.suspicions.delete(node)
    ? [{ type: 'cancel-timer', key: { purpose: 'membership-suspicion', subject: node } }]
    : [];

/** Suspects a member that a peer reported as suspect. */
export const suspectReported = (state: CoreState, identity: NodeIdentity, at: number): Effect[] => {
  const { membership } = state;
  writeMember(membership, identity, 'suspect', at);
  const suspicion = { observed: false, dueAt: at + REPORTED_SUSPICION_MS };
  membership.suspicions.set(identity.node, suspicion);
  return [armSuspicion(identity.node, suspicion)];
};

/** Suspects a member that neither this node nor its peers could reach. */
export const suspectUnreachable = (state: CoreState, node: NodeId, at: number): Effect[] => {
  const { membership } = state;
  const member = membership.members.get(node);
  const known = membership.suspicions.get(node);
  if (member === undefined || known?.observed === true) {
    return [];
  }
  if (member.state === 'alive') {
    state.counters.members_suspected += 1;
    writeMember(membership, member.identity, 'suspect', at);
  }
  const dueAt = Math.min(at + OBSERVED_SUSPICION_MS, known?.dueAt ?? Number.POSITIVE_INFINITY);
  const suspicion = { observed: true, dueAt };
  membership.suspicions.set(node, suspicion);
  return [armSuspicion(node, suspicion), ...armGossip(state, at)];
};

/** Declares a member dead and spreads that as a rumour. */
export const declareDead = (state: CoreState, identity: NodeIdentity, at: number): Effect[] => {
  const { membership } = state;
  const held = membership.members.get(identity.node);
  const effects = endSuspicion(membership, identity.node);
  if (held === undefined || held.state === 'dead') {
    return effects;
  }
  writeMember(membership, identity, 'dead', at);
  membership.disputed.delete(identity.node);
  return [...effects, ...armGossip(state, at)];
};

/** Handles the timeout of a suspicion: declares the member dead. */
export const expireSuspicion = (state: CoreState, node: NodeId, at: number): Effect[] => {
  const { membership } = state;
  const suspicion = membership.suspicions.get(node);
  const member = membership.members.get(node);
  if (suspicion === undefined || member === undefined) {
    return [];
  }
  if (at - suspicion.dueAt > LATE_TIMER_MS) {
    suspicion.dueAt = at + (suspicion.observed ? OBSERVED_SUSPICION_MS : REPORTED_SUSPICION_MS);
    return [armSuspicion(node, suspicion)];
  }
  state.counters.members_declared_dead += 1;
  const effects = declareDead(state, member.identity, at);
  return [
    ...effects,
    ...sendUrgentGossip(state, at),
    {
      type: 'write-log',
      level: 'info',
      part: 'membership',
      sentence: `${node} is dead: it did not refute the suspicion`,
    },
  ];
};

/** Restarts the timeout of all suspicions after a process pause, as refutations may be queued. */
export const postponeSuspicions = (state: CoreState, at: number): Effect[] => {
  const effects: Effect[] = [];
  for (const [node, suspicion] of state.membership.suspicions) {
    suspicion.dueAt = at + (suspicion.observed ? OBSERVED_SUSPICION_MS : REPORTED_SUSPICION_MS);
    effects.push(armSuspicion(node, suspicion));
  }
  return effects;
};
