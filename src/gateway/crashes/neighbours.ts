/**
 * Whom a gateway tells first-hand: the gateways stand in a ring by the hash of their names, and each tells those that
 * are 1, 2, 4, 8 and so on places further. What each passes on reaches N gateways in log2(N) steps, by N log2(N)
 * messages, and no gateway need know who has heard.
 */
import { hash32 } from '../../core/hash.js';
import type { PeerRecord } from '../model/peer-record.js';
import type { GatewayState } from '../state.js';

/** The gateways that this one tells; those that have failed to answer are left out of the ring. */
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
