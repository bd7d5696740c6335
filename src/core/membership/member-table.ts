/**
 * Hashes of the member table, updated incrementally with each change.
 *
 * The table is divided into buckets by the hash of the node. A bucket's hash is the exclusive or
 * over its members that are not dead, so nodes with the same members have the same hashes
 * regardless of the order of changes. Suspicions are excluded because they are temporary.
 */
import { hash32 } from '../hash.js';
import { MIN_BUCKETS_SENT, MEMBERS_PER_BUCKET_SENT, TABLE_BUCKETS } from './bounds.js';
import type { Member } from './member.js';

/** Returns the bucket of a member among `count` buckets. */
export const bucketOf = (member: Pick<Member, 'ringHash'>, count = TABLE_BUCKETS): number =>
  member.ringHash % count;

/** Whether the hashes of `count` buckets can be computed by folding those stored. */
export const canFoldTo = (count: number): boolean => count > 0 && TABLE_BUCKETS % count === 0;

/** Computes the hashes of `count` buckets by combining the stored ones. */
export const foldBuckets = (buckets: Uint32Array, count: number): Uint32Array => {
  const folded = new Uint32Array(count);
  buckets.forEach((hash, bucket) => {
    folded[bucket % count] = ((folded[bucket % count] ?? 0) ^ hash) >>> 0;
  });
  return folded;
};

/**
 * Returns how many bucket hashes to send for a table of `members`. More hashes make the buckets
 * smaller, so that fewer members that do not differ are sent with those that do.
 */
export const countBucketsToSend = (members: number): number => {
  let count = MIN_BUCKETS_SENT;
  while (count < TABLE_BUCKETS && count * MEMBERS_PER_BUCKET_SENT < members) {
    count *= 2;
  }
  return count;
};

const hashMember = (member: Member): number => {
  const kind = member.state === 'leaving' ? 'leaving' : 'alive';
  return hash32(`${member.identity.node}|${member.identity.incarnation}|${kind}`);
};

/** Adds a member to the hashes, or removes it when it is included already. */
export const toggleMemberHash = (buckets: Uint32Array, member: Member): void => {
  if (member.state === 'dead') {
    return;
  }
  const bucket = bucketOf(member);
  buckets[bucket] = ((buckets[bucket] ?? 0) ^ hashMember(member)) >>> 0;
};

/** Computes one hash over the whole table. */
export const hashTable = (buckets: Uint32Array): number => {
  let hash = 0;
  for (const bucket of buckets) {
    hash = (Math.imul(hash, 31) + bucket) >>> 0;
  }
  return hash;
};
