/** The view: the live members and the order derived from them by rendezvous hashing. */
import type { NodeIdentity } from '../../protocol/node-address.js';
import { hash32 } from '../hash.js';
import type { ZoneName } from '../identifiers.js';
import type { MembershipState } from './state.js';

/** Lists the members that may receive work: alive or suspected, neither leaving nor dead. */
export const listLiveMembers = (membership: MembershipState): NodeIdentity[] => {
  const live: NodeIdentity[] = [];
  for (const member of membership.members.values()) {
    if (member.state === 'alive' || member.state === 'suspect') {
      live.push(member.identity);
    }
  }
  return live;
};

/** Lists the live members of one zone. */
export const listZoneMembers = (membership: MembershipState, zone: ZoneName): NodeIdentity[] =>
  listLiveMembers(membership).filter((identity) => identity.zone === zone);

/**
 * Orders `candidates` by rendezvous hash for `subject`, first choice first. All nodes with the same
 * view get the same order; a member that joins or leaves moves only the subjects assigned to it.
 */
export const rankByRendezvous = (
  candidates: readonly NodeIdentity[],
  subject: string,
): NodeIdentity[] =>
  candidates
    .map((identity) => ({ identity, weight: hash32(`${identity.node}|${subject}`) }))
    .sort((a, b) => b.weight - a.weight || (a.identity.node < b.identity.node ? -1 : 1))
    .map((entry) => entry.identity);
