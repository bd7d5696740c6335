/**
 * The probe ring: live members in the order of their hashes. Each node probes its successor, so
 * that each member is probed by one peer each second regardless of their number.
 */
import type { CoreState } from '../state.js';
import type { Member } from './member.js';
import type { MembershipState } from './state.js';

const compareOnRing = (a: Member, b: Member): number =>
  a.ringHash - b.ringHash || (a.identity.node < b.identity.node ? -1 : 1);

/** Lists live members, including suspected ones, in ring order; cached for each view. */
export const listRing = (membership: MembershipState): readonly Member[] => {
  if (membership.ringVersion !== membership.viewVersion) {
    membership.ring = [...membership.members.values()]
      .filter((member) => member.state === 'alive' || member.state === 'suspect')
      .sort(compareOnRing);
    membership.ringVersion = membership.viewVersion;
  }
  return membership.ring;
};

/** Returns the index of `member` in the ring, or the index at which it would be inserted. */
const findPositionOf = (ring: readonly Member[], member: Member): number => {
  let low = 0;
  let high = ring.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const other = ring[middle];
    if (other !== undefined && compareOnRing(other, member) < 0) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
};

/**
 * Inserts one member into the ring or removes it, for a view that differs from the ring's in this
 * member only. Sorting the whole ring for each change is expensive when hundreds of members change.
 */
export const updateRing = (membership: MembershipState, member: Member, isLive: boolean): void => {
  const { ring } = membership;
  const place = findPositionOf(ring, member);
  const isIn = ring[place] === member;
  if (isLive && !isIn) {
    ring.splice(place, 0, member);
  } else if (!isLive && isIn) {
    ring.splice(place, 1);
  }
  membership.ringVersion = membership.viewVersion;
};

const findPositionAfter = (ring: readonly Member[], ringHash: number): number => {
  let low = 0;
  let high = ring.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((ring[middle]?.ringHash ?? 0) > ringHash) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
};

/** Returns the next live member after this node on the ring; undefined when there is none. */
export const findSuccessor = (state: CoreState): Member | undefined => {
  const ring = listRing(state.membership);
  const self = state.membership.members.get(state.self.node);
  if (self === undefined || ring.length === 0) {
    return undefined;
  }
  const start = findPositionAfter(ring, self.ringHash);
  for (let step = 0; step < ring.length; step += 1) {
    const candidate = ring[(start + step) % ring.length];
    if (candidate !== undefined && candidate !== self) {
      return candidate;
    }
  }
  return undefined;
};
