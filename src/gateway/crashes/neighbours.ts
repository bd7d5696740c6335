/**
 * The peers that a gateway sends crash updates to directly. Gateways are ordered in a ring by the hash of their names,
 * and each sends to those 1, 2, 4, 8 and so on places further. Forwarded updates reach N gateways in log2(N) steps with
 * N log2(N) messages, and no gateway needs to know which others already have them.
 */
import { hash32 } from '../../core/hash.js';
import type { PeerRecord } from '../model/peer-record.js';
import type { GatewayState } from '../state.js';

/** The peers that this gateway sends to, nearest first. Peers suspected of having failed are left out of the ring. */
export const neighboursOf = (
  { peers, settings }: GatewayState,
  at: number,
): readonly PeerRecord[] => {
  const others = [...peers.all()].filter(
    ({ name }) => name !== settings.node && !peers.isSuspect(name, at),
  );
  const own = hash32(settings.node);
  const ringDistance = ({ name }: PeerRecord): number => (hash32(name) - own) >>> 0;
  const ring = others.sort(
    (left, right) => ringDistance(left) - ringDistance(right) || (left.name < right.name ? -1 : 1),
  );
  const neighbours: PeerRecord[] = [];
  for (let step = 1; step <= ring.length; step *= 2) {
    const neighbour = ring[step - 1];
    if (neighbour !== undefined) {
      neighbours.push(neighbour);
    }
  }
  return neighbours;
};
