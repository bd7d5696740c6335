/**
 * Hashes of the member table, kept up to date with each change.
 *
 * The table is cut into buckets by the hash of the node. A bucket's hash is the exclusive or over
 * its members that are not dead, so that two nodes with the same members have the same hashes
 * whatever the order in which they heard of them. Suspicion is left out: it passes by itself.
 */
import { hash32 } from '../hash.js';
import { MIN_BUCKETS_SENT, MEMBERS_PER_BUCKET_SENT, TABLE_BUCKETS } from './bounds.js';
import type { Member } from './member.js';

/** The bucket of a member, of `count` buckets. */
export const bucketOf = (member: Pick<Member, 'ringHash'>, count = TABLE_BUCKETS): number =>
  member.ringHash % count;

/** True when hashes of `count` buckets can be had by folding those that are kept. */
export const canFoldTo = (count: number): boolean => count > 0 && TABLE_BUCKETS % count === 0;

/** The hashes of `count` buckets, each made of those kept that fall together. */
export const foldBuckets = (buckets: Uint32Array, count: number): Uint32Array => {
  const folded = new Uint32Array(count);
  buckets.forEach((hash, bucket) => {
    folded[bucket % count] = ((folded[bucket % count] ?? 0) ^ hash) >>> 0;
  });
  return folded;
};

/**
 * How many buckets to send for a table of `members`: as many as find those that differ one by one,
 * where that costs less than the members of a bucket that are sent for nothing.
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

/** Adds a member to the hashes, or takes it out again when it is in them. */
export const toggleMemberHash = (buckets: Uint32Array, member: Member): void => {
  if (member.state === 'dead') {
    return;
  }
  const bucket = bucketOf(member);
  buckets[bucket] = ((buckets[bucket] ?? 0) ^ hashMember(member)) >>> 0;
};

/** One hash over the whole table. */
export const hashTable = (buckets: Uint32Array): number => {
  let hash = 0;
  for (const bucket of buckets) {
    hash = (Math.imul(hash, 31) + bucket) >>> 0;
  }
  return hash;
};
