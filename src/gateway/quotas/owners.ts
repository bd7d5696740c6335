/**
 * Which gateways keep a tenant's buckets: the first by rendezvous is the owner, the first three are backups. Gateways may
 * have different lists for some seconds, and no two may grant from the owner's bucket at once. A gateway therefore stops as
 * soon as its own list has named another first gateway for `YIELD_MS`, and starts only after the list has been the same
 * for `TAKEOVER_MS`.
 */
import type { PeerRecord } from '../model/peer-record.js';
import { rankByRendezvous } from '../peers/rendezvous.js';
import type { PeerDirectory } from '../peers/peer-directory.js';
import { BACKUPS } from './divide-quota.js';

/**
 * How long a new gateway must have been listed until others let it rank before them, in milliseconds. Until then, the
 * previous owner continues.
 */
const YIELD_MS = 4_000;

/**
 * How long a new gateway must have been listed, and a previous one gone, until a gateway grants in its new role, in
 * milliseconds. The previous owner has then yielded: either it has read the list, within `YIELD_MS` and the window of the
 * quota, or it has had no contact with the store for the window. For windows of up to 5.9 s.
 */
const TAKEOVER_MS = 10_000;

/**
 * On the first start of the tier, gateways that are listed within this time count at once, in milliseconds: they register
 * one after another. No other gateway can have granted anything before.
 */
const FIRST_START_MS = 10_000;

/** A gateway in the list, or one that left it. */
interface Member {
  readonly record: PeerRecord;
  /** When it was first seen; negative infinity for one that was listed when the process started. */
  readonly since: number;
  /** When it was last removed from the list; undefined while it is listed. */
  readonly goneAt: number | undefined;
}

/** Who is asked for the tokens of a tenant, and this gateway's place among those that grant them. */
export interface TenantRanking {
  /** The owner and the backups, in the order in which they are asked. */
  readonly asked: readonly PeerRecord[];
  /** This gateway's place among those that may grant, beginning with 0. */
  readonly ownPlace: number;
}

/** Settings of this gateway that the choice depends on. */
export interface OwnIdentity {
  readonly node: string;
  readonly firstStart: boolean;
  readonly startedAt: number;
}

const isAskable = ({ since, goneAt }: Member, at: number): boolean =>
  goneAt === undefined && since + YIELD_MS <= at;

/** Follows the list of gateways and ranks them for tenants. */
export class OwnerChoice {
  private readonly members = new Map<string, Member>();
  private readonly rankings = new Map<string, TenantRanking>();
  private seenGeneration: number | undefined;
  /** When the next member counts, or stops counting. */
  private nextChangeAt = Number.POSITIVE_INFINITY;
  /** When a gateway last changed its place, as far as this process knows. */
  changedAt = Number.NEGATIVE_INFINITY;
  /** Rises with each change of places. */
  version = 0;

  /** Applies the list of gateways; called after each update of it, so that the times of changes are exact. */
  update(peers: PeerDirectory, own: OwnIdentity, at: number): void {
    if (this.seenGeneration === peers.generation || peers.size === 0) {
      return;
    }
    const isFirst = this.seenGeneration === undefined;
    const countsAtOnce = isFirst || (own.firstStart && at - own.startedAt < FIRST_START_MS);
    this.seenGeneration = peers.generation;
    let isChanged = false;
    for (const record of peers.all()) {
      const isNew = this.addMember(record, countsAtOnce ? Number.NEGATIVE_INFINITY : at);
      isChanged ||= isNew;
    }
    for (const [name, member] of this.members) {
      if (member.goneAt === undefined && peers.find(name) === undefined) {
        this.members.set(name, { ...member, goneAt: at });
        isChanged = true;
      }
    }
    this.changePlaces(isChanged && !countsAtOnce ? at : this.changedAt, at);
  }

  /** Applies the changes of places that are due at time `at`. */
  advance(at: number): void {
    if (at >= this.nextChangeAt) {
      this.changePlaces(this.nextChangeAt, at);
    }
  }

  /** The ranking for a tenant at time `at`. */
  rank(tenant: string, node: string, at: number): TenantRanking {
    this.advance(at);
    const known = this.rankings.get(tenant);
    if (known !== undefined) {
      return known;
    }
    const ranking = this.computeRanking(tenant, node, at);
    this.rankings.set(tenant, ranking);
    return ranking;
  }

  /** Forgets the rankings of other tenants. */
  keepRankings(isKept: (tenant: string) => boolean): void {
    for (const tenant of this.rankings.keys()) {
      if (!isKept(tenant)) {
        this.rankings.delete(tenant);
      }
    }
  }

  private computeRanking(tenant: string, node: string, at: number): TenantRanking {
    const members = [...this.members.values()];
    const subject = `tenant/${tenant}`;
    const askable = members.filter((member) => isAskable(member, at));
    const granting = members.filter(
      (member) => member.record.name === node || this.mayGrant(member, at),
    );
    const places = rankByRendezvous(
      subject,
      granting.map(({ record }) => record),
    );
    const own = this.members.get(node);
    const isOld = own?.goneAt === undefined && (own?.since ?? at) + TAKEOVER_MS <= at;
    // The places of all gateways are those that are asked, unless the list has changed recently.
    const isSettled =
      askable.length === granting.length &&
      granting.every((member, index) => member === askable[index]);
    const ranked = isSettled
      ? places
      : rankByRendezvous(
          subject,
          askable.map(({ record }) => record),
        );
    return {
      asked: ranked.slice(0, BACKUPS),
      ownPlace: isOld ? places.findIndex(({ name }) => name === node) : Number.POSITIVE_INFINITY,
    };
  }

  /** Whether a gateway may be granting in its place: it is listed for some time, or may not know that it was removed. */
  private mayGrant({ since, goneAt }: Member, at: number): boolean {
    return goneAt === undefined ? since + YIELD_MS <= at : goneAt + TAKEOVER_MS > at;
  }

  /** Adds or updates a member; returns whether it was not listed before. */
  private addMember(record: PeerRecord, since: number): boolean {
    const known = this.members.get(record.name);
    const isNew = known === undefined || known.goneAt !== undefined;
    this.members.set(record.name, {
      // Uniform capacity: a gateway whose capacity changes keeps its tenants.
      record: { ...record, capacity: 1 },
      since: isNew ? since : known.since,
      goneAt: undefined,
    });
    return isNew;
  }

  /** Starts a new set of places that applies from `since`. */
  private changePlaces(since: number, at: number): void {
    this.changedAt = Math.max(this.changedAt, since);
    this.version += 1;
    this.rankings.clear();
    this.nextChangeAt = Number.POSITIVE_INFINITY;
    for (const [name, { since: listedAt, goneAt }] of this.members) {
      if (goneAt !== undefined && goneAt + TAKEOVER_MS <= at) {
        this.members.delete(name);
        continue;
      }
      const changes =
        goneAt === undefined
          ? [listedAt + YIELD_MS, listedAt + TAKEOVER_MS]
          : [goneAt + TAKEOVER_MS];
      const next = changes.filter((change) => change > at);
      this.nextChangeAt = Math.min(this.nextChangeAt, ...next);
    }
  }
}
