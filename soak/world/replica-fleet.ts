/** Replicas of all services: stand-ins of the tests whose requests and answers are recorded. */
import { setTimeout as pause } from 'node:timers/promises';
import { platformProtocol } from '../../platform/protocol.js';
import type { Random } from '../../src/core/random.js';
import { ENDLESS_ANSWERS } from '../../test/platform/endless-answer.js';
import { BROKEN_OFF_ANSWERS } from '../../test/platform/quick-failure.js';
import { REPLICA_KIND } from '../../test/platform/operator-spec.js';
import {
  type ArrivedRequest,
  type ReplicaObserver,
  StandInReplica,
} from '../../test/platform/stand-in-replica.js';
import type { StandInStore } from '../../test/platform/stand-in-store.js';
import type { Arrival, Departure, Observations } from '../model/observations.js';
import { bodyOf, digestOf } from './answer-body.js';
import { isPoison, workOf } from './paths.js';
import { beginDisturbance } from './recorder.js';
import { KEY_MARK } from './tenants.js';
import { isShard, REPLICA_SLOTS, SERVICES, replicasOf, zoneOf } from './topology.js';

const HEADERS = platformProtocol.headers;

/** Time for which a departing replica serves beyond the drain bound, in milliseconds. */
const EXTRA_SERVING_MS = 3_000;

/** Fields with which another writer overwrites a replica's entry; each makes the entry invalid. */
const INVALID_FIELDS: readonly Readonly<Record<string, unknown>>[] = [
  { service: 7 },
  { address: 'nowhere' },
  { state: 'sleeping' },
  { slots: 'many' },
  { born: 1.5 },
  { zone: undefined },
];

/** Additional processing time of poison requests, in milliseconds, so that the replica crashes before it answers. */
const UNFINISHED_WORK_MS = 10_000;

/** Options of the replicas of a run. */
export interface FleetOptions {
  readonly drainMs: number;
  /** Time from the start of a poison request at a replica to its crash, in milliseconds. */
  readonly poisonCrashDelayMs: number;
  /** Whether replicas publish their start time in their entries. */
  readonly publishesStartTimes: boolean;
  /** Number of requests that a replica of a shard runs concurrently. */
  readonly shardSlots: number;
}

/** Statuses of a replica that serves and of one that fails. */
const SUCCESS_STATUS = 200;
const FAILURE_STATUS = 500;

/** Time after which the store removes the entry of a crashed replica, in milliseconds. */
const ENTRY_EXPIRY_MS = 3_600;

interface FleetMember {
  readonly replica: StandInReplica;
  readonly service: string;
  readonly zone: string;
  /** Start time in milliseconds since the Unix epoch. */
  readonly bornAt: number;
  /** Whether it is leaving or has left. */
  leaving: boolean;
}

/** Starts, observes and stops replicas. */
export class ReplicaFleet {
  private readonly members = new Set<FleetMember>();
  /** Current entries of the replicas, as last written by them. */
  private readonly entries = new Map<string, unknown>();
  private readonly failingServices = new Set<string>();
  private started = 0;
  private stopped = false;

  constructor(
    private readonly store: StandInStore,
    private readonly observations: Observations,
    private readonly options: FleetOptions,
  ) {}

  /** Starts all replicas of the deployment. */
  async start(): Promise<void> {
    for (const service of SERVICES) {
      for (let index = 0; index < replicasOf(service); index += 1) {
        await this.add(service, zoneOf(index));
      }
    }
  }

  /** Drains a replica of the service: it publishes this, keeps serving for some time, and stops. */
  async drain(service: string): Promise<void> {
    const member = await this.replaceMember(service);
    if (member === undefined) {
      return;
    }
    const { replica } = member;
    this.writeEntry(replica.id, this.entryOf(member, 'draining'));
    this.recordDeparture(member);
    await pause(this.options.drainMs + EXTRA_SERVING_MS);
    this.removeEntry(replica.id);
    await this.end(member);
  }

  /** Removes the entry of a replica, which keeps serving for some time and then stops. */
  async vanish(service: string): Promise<void> {
    const member = await this.replaceMember(service);
    if (member === undefined) {
      return;
    }
    this.removeEntry(member.replica.id);
    this.recordDeparture(member);
    await pause(this.options.drainMs + EXTRA_SERVING_MS);
    await this.end(member);
  }

  /** Crashes a replica. Its entry is removed later, and then another replica is started in its place. */
  async crash(service: string): Promise<void> {
    const member = this.findActive(service);
    if (member === undefined) {
      return;
    }
    await this.crashMember(member);
  }

  private async crashMember(member: FleetMember): Promise<void> {
    member.leaving = true;
    await this.end(member);
    await pause(ENTRY_EXPIRY_MS);
    this.removeEntry(member.replica.id);
    if (!this.stopped) {
      await this.add(member.service, member.zone);
    }
  }

  /** Stops a replica and starts it again with the same identifier, another address and another start time. */
  async restart(service: string, downMs: number): Promise<void> {
    const member = this.findActive(service);
    if (member === undefined) {
      return;
    }
    member.leaving = true;
    await this.end(member);
    await pause(downMs);
    if (!this.stopped) {
      await this.startReplica(member.replica.id, service, member.zone);
    }
  }

  /** Overwrites the entry of a replica with an invalid one; the replica keeps running and later restores its own. */
  async overwriteEntry(service: string, forMs: number, random: Random): Promise<void> {
    const member = this.findActive(service);
    if (member === undefined) {
      return;
    }
    const { id } = member.replica;
    const fields = INVALID_FIELDS[random.nextBelow(INVALID_FIELDS.length)];
    this.store.put(REPLICA_KIND, id, { ...(this.entryOf(member) as object), ...fields });
    const departure = this.recordDeparture(member, 'entry-spoilt');
    await pause(forMs);
    departure.returnedAt ??= performance.now();
    if (this.members.has(member) && !member.leaving) {
      this.writeEntry(id, this.entryOf(member));
      this.endOverwrites(id);
    }
  }

  /** Records that the entry of a replica is its own again, also where it was overwritten several times. */
  private endOverwrites(id: string): void {
    const at = performance.now();
    this.observations.departures
      .filter(({ replica, why }) => replica === id && why === 'entry-spoilt')
      .forEach((departure) => {
        departure.returnedAt ??= at;
      });
  }

  /** Crashes a replica that runs a poison request, along with its other requests. */
  private async crashUnderRequest(replica: StandInReplica, path: string): Promise<void> {
    const { poisonCrashDelayMs } = this.options;
    if (poisonCrashDelayMs > 0) {
      await pause(poisonCrashDelayMs);
    }
    const member = [...this.members].find((each) => each.replica === replica);
    if (member === undefined) {
      return;
    }
    this.observations.poisonCrashes.push({ path, at: performance.now() });
    const scope = { type: 'service', service: member.service } as const;
    const end = beginDisturbance(this.observations, [scope], 'a poison request crashes a replica');
    await this.crashMember(member);
    end();
  }

  /** Makes a replica of the service close connections instead of answering the requests it ran, for some time. */
  async loseAnswers(service: string, forMs: number): Promise<void> {
    const member = this.findActive(service);
    if (member === undefined) {
      return;
    }
    member.replica.behaviour.losesAnswers = true;
    await pause(forMs);
    member.replica.behaviour.losesAnswers = false;
  }

  /** Makes all replicas of the service, also those that start meanwhile, answer with a failure for some time. */
  async failService(service: string, forMs: number): Promise<void> {
    this.setFailing(service, true);
    await pause(forMs);
    this.setFailing(service, false);
  }

  private setFailing(service: string, isFailing: boolean): void {
    if (isFailing) {
      this.failingServices.add(service);
    } else {
      this.failingServices.delete(service);
    }
    const replicas = [...this.members].filter((member) => member.service === service);
    replicas.forEach(({ replica }) => {
      replica.behaviour.status = this.statusOf(service);
    });
  }

  private statusOf(service: string): number {
    return this.failingServices.has(service) ? FAILURE_STATUS : SUCCESS_STATUS;
  }

  /** Makes a replica of the service send bytes without end in place of answers, for some time. */
  async sendWithoutEnd(service: string, form: string, forMs: number): Promise<void> {
    const member = this.findActive(service);
    const endless = ENDLESS_ANSWERS[form];
    if (member === undefined || endless === undefined) {
      return;
    }
    member.replica.behaviour.endless = endless;
    await pause(forMs);
    delete member.replica.behaviour.endless;
  }

  /** Makes a replica of the service break off its answers in a form, for some time. */
  async breakOff(service: string, form: string, forMs: number): Promise<void> {
    const member = this.findActive(service);
    const failure = BROKEN_OFF_ANSWERS[form];
    if (member === undefined || failure === undefined) {
      return;
    }
    member.replica.behaviour.quickFailure = failure;
    await pause(forMs);
    delete member.replica.behaviour.quickFailure;
  }

  /**
   * Repairs the entries after a restore of the store: replicas write theirs again, each at a random time, and the
   * entries of those that have left expire. Resolves when all entries are correct.
   */
  async rewriteEntries(withinMs: number, random: Random): Promise<void> {
    const written = [...this.entries.keys()].map(async (id) => {
      await pause(random.nextBelow(withinMs + 1));
      const entry = this.entries.get(id);
      if (entry !== undefined) {
        this.store.put(REPLICA_KIND, id, entry);
      }
    });
    const left = this.store.names(REPLICA_KIND).filter((id) => !this.entries.has(id));
    const lapsed = left.map(async (id) => {
      await pause(ENTRY_EXPIRY_MS);
      this.store.remove(REPLICA_KIND, id);
    });
    await Promise.all([...written, ...lapsed]);
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all([...this.members].map((member) => this.end(member)));
  }

  private findActive(service: string): FleetMember | undefined {
    return [...this.members].find((member) => member.service === service && !member.leaving);
  }

  /** Selects a replica that is to leave and starts another in its place. */
  private async replaceMember(service: string): Promise<FleetMember | undefined> {
    const member = this.findActive(service);
    if (member !== undefined) {
      member.leaving = true;
      await this.add(service, member.zone);
    }
    return member;
  }

  private async add(service: string, zone: string): Promise<void> {
    this.started += 1;
    await this.startReplica(`${service}~${this.started}`, service, zone);
  }

  private async startReplica(id: string, service: string, zone: string): Promise<void> {
    const bornAt = Date.now();
    const replica = await StandInReplica.start(id, {
      slots: isShard(service) ? this.options.shardSlots : REPLICA_SLOTS,
      bodyOf,
      workOf: (path) => this.workOf(path),
      start: bornAt,
      status: this.statusOf(service),
    });
    replica.observer = this.createObserver(replica, service);
    const member = { replica, service, zone, bornAt, leaving: false };
    this.members.add(member);
    this.writeEntry(id, this.entryOf(member));
  }

  /** Returns the processing time for a path; a replica crashes before it answers a poison request. */
  private workOf(path: string): number {
    const { poisonCrashDelayMs } = this.options;
    return isPoison(path) && poisonCrashDelayMs > 0
      ? poisonCrashDelayMs + UNFINISHED_WORK_MS
      : workOf(path);
  }

  /** Returns the entry that a replica publishes. */
  private entryOf({ replica, service, zone, bornAt }: FleetMember, state = 'ready'): unknown {
    const entry = replica.entry(service, zone, state) as object;
    return this.options.publishesStartTimes ? { ...entry, born: bornAt } : entry;
  }

  private writeEntry(id: string, entry: unknown): void {
    this.entries.set(id, entry);
    this.store.put(REPLICA_KIND, id, entry);
  }

  private removeEntry(id: string): void {
    this.entries.delete(id);
    this.store.remove(REPLICA_KIND, id);
  }

  private async end(member: FleetMember): Promise<void> {
    this.members.delete(member);
    await member.replica.stop();
  }

  private recordDeparture(
    { replica, service }: FleetMember,
    why: Departure['why'] = 'leaves',
  ): Departure {
    const acknowledgedAt = performance.now();
    const departure: Departure = {
      replica: replica.id,
      service,
      why,
      acknowledgedAt,
      returnedAt: undefined,
    };
    this.observations.departures.push(departure);
    return departure;
  }

  private createObserver(replica: StandInReplica, service: string): ReplicaObserver {
    const { arrivals, answers } = this.observations;
    const recorded = new WeakMap<ArrivedRequest, Arrival>();
    return {
      arrived: (request, ran) => {
        const arrival = describeArrival(request, replica.id, service, ran);
        recorded.set(request, arrival);
        arrivals.push(arrival);
        replica.arrived.length = 0;
        if (ran && isPoison(request.path)) {
          void this.crashUnderRequest(replica, request.path);
        }
      },
      read: (request) => {
        const arrival = recorded.get(request);
        if (arrival !== undefined) {
          arrival.bodyDigest = digestOf(Buffer.from(request.body));
        }
      },
      answered: ({ id }, signature, status) => {
        answers.set(signature, { signature, requestId: id, replica: replica.id, service, status });
      },
      ended: (request) => {
        const arrival = recorded.get(request);
        if (arrival !== undefined) {
          arrival.endedAt ??= performance.now();
        }
      },
    };
  }
}

const describeArrival = (
  { id, method, path, headers }: ArrivedRequest,
  replica: string,
  service: string,
  ran: boolean,
): Arrival => ({
  requestId: id,
  replica,
  service,
  at: performance.now(),
  ran,
  method,
  path,
  workMs: ran ? workOf(path) : 0,
  ...(headers[HEADERS.tenant] !== undefined && { tenant: String(headers[HEADERS.tenant]) }),
  showsKey: HEADERS.apiKey in headers || `${path}${JSON.stringify(headers)}`.includes(KEY_MARK),
  bodyDigest: undefined,
  endedAt: undefined,
});
