/**
 * Weighted rendezvous hashing: all gateways compute the same order of gateways for a subject without messages, each gateway
 * is first for a share of subjects in proportion to its capacity, and a change of members moves few subjects.
 */
import { hash32 } from '../../core/hash.js';
import type { PeerRecord } from '../model/peer-record.js';

const UINT32_RANGE = 0x1_0000_0000;

/** Hashes a text to a number in (0, 1), uniformly distributed. */
export const uniformHash = (text: string): number => (hash32(text) + 0.5) / UINT32_RANGE;

const scoreOf = (subject: string, { name, capacity }: PeerRecord): number =>
  -Math.max(capacity, Number.EPSILON) / Math.log(uniformHash(`${subject}/${name}`));

/** Returns the `candidates` in order of preference for `subject`. */
export const rankByRendezvous = (
  subject: string,
  candidates: readonly PeerRecord[],
): readonly PeerRecord[] =>
  candidates
    .map((peer) => ({ peer, score: scoreOf(subject, peer) }))
    .sort((left, right) => right.score - left.score || (left.peer.name < right.peer.name ? -1 : 1))
    .map(({ peer }) => peer);
