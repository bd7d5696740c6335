/**
 * Weighted rendezvous hashing: every gateway orders the same gateways alike for a subject, without
 * asking anyone, each wins in proportion to its processor, and a change of members moves few subjects.
 */
import { hash32 } from '../../core/hash.js';
import type { PeerRecord } from '../model/peer-record.js';

const UINT32_RANGE = 0x1_0000_0000;

/** Uniform in (0, 1), from the text alone. */
export const uniformHash = (text: string): number => (hash32(text) + 0.5) / UINT32_RANGE;

const scoreOf = (subject: string, { name, capacity }: PeerRecord): number =>
  -Math.max(capacity, Number.EPSILON) / Math.log(uniformHash(`${subject}/${name}`));

/** Orders `candidates` for `subject`, the first choice first. */
export const rankByRendezvous = (
  subject: string,
  candidates: readonly PeerRecord[],
): readonly PeerRecord[] =>
  candidates
    .map((peer) => ({ peer, score: scoreOf(subject, peer) }))
    .sort((left, right) => right.score - left.score || (left.peer.name < right.peer.name ? -1 : 1))
    .map(({ peer }) => peer);
