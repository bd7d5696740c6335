/** Replicas of a few shards in virtual time, fed by one gateway under a given load of several classes. */
import { createRandom } from '../../src/core/random.js';
import { BinaryHeap } from '../../src/core/binary-heap.js';
import type { GatewayEffect, SendAttempt } from '../../src/gateway/effect.js';
import type { AttemptResult, CallId, LoadReport } from '../../src/gateway/model/request.js';
import type { Route } from '../../src/gateway/model/route.js';
import { feederPlan } from '../../src/gateway/peers/service-share.js';
import { GATEWAY_LIST, routeTo, VirtualGateway } from './virtual-gateway.js';

/** The replicas of each shard, and how far away they are. */
export interface ReplicaSetup {
  /** Zone of each replica. */
  readonly zones: readonly string[];
  readonly slots: number;
  /** Requests that a replica queues before it refuses. */
  readonly maxQueue: number;
  /** Whether answers report the load of the replica. */
  readonly reportsLoad: boolean;
  /** Time between the gateway and a replica of a zone, in milliseconds. */
  readonly linkMs: (zone: string) => number;
}

const ONE_REGION: ReplicaSetup = {
  zones: ['bole', 'arada', 'bole'],
  slots: 2,
  maxQueue: 12,
  reportsLoad: true,
  linkMs: () => 1.4,
};

/** One replica in the region of the feeder and one in each of two others; no load reports. */
export const THREE_REGIONS: ReplicaSetup = {
  zones: ['bole', 'mekele', 'gondar'],
  slots: 4,
  maxQueue: 24,
  reportsLoad: false,
  linkMs: (zone) => (zone === 'bole' ? 1.4 : 12),
};

/** A class of requests, with its rate at one shard. */
export interface LoadClass {
  readonly name: string;
  /** Name of the route, if several classes have the same. */
  readonly route?: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
}

/** Parts of one class: offered, delivered before the deadline, and delivered within the objective. */
export interface Served {
  offered: number;
  served: number;
  timely: number;
}

interface Job {
  readonly send: SendAttempt;
  readonly workMs: number;
  isAborted: boolean;
}

interface SimulatedReplica {
  readonly running: Set<Job>;
  readonly queue: Job[];
}

interface RigEvent {
  readonly at: number;
  readonly run: () => void;
}

const routeOf = (
  { name, route = name, priority, objectiveMs, deadlineMs }: LoadClass,
  shards: readonly string[],
) =>
  routeTo(
    { type: 'gather', shards, maxRecords: 10, minCoverage: 0.9 },
    { name: route, priority, objectiveMs, timeoutMs: deadlineMs, pathPrefix: `/${route}/` },
  );

/** A gateway that is the first feeder of some shards. */
export const feedingGateway = (
  shardCount: number,
  routes: (shards: readonly string[]) => readonly Route[],
  { zones, slots }: ReplicaSetup = ONE_REGION,
): { readonly gateway: VirtualGateway; readonly shards: readonly string[] } => {
  const gateway = new VirtualGateway(2_000);
  gateway.listGateways(GATEWAY_LIST);
  const candidates = Array.from({ length: 200 }, (_, index) => `s${index}`);
  const shards = candidates
    .filter((service) => feederPlan(gateway.state).rankOf(service, 'front-1') === 0)
    .slice(0, shardCount);
  gateway.configure(1, routes(shards), 54);
  gateway.listReplicas(shards, zones, 0, slots);
  return { gateway, shards };
};

/** Runs a feeder and the replicas of its shards under load. */
export class ShardRig {
  readonly gateway: VirtualGateway;
  readonly shards: readonly string[];
  readonly results = new Map<string, Served>();
  /** Number of attempts that replicas refused because their queues were full. */
  refused = 0;
  /** Largest number of attempts at one replica at the same time. */
  mostAtReplica = 0;
  /** Factor by which a replica is slower, by its identifier. */
  slowdownOf: (replica: string, at: number) => number = () => 1;
  private readonly replicas = new Map<string, SimulatedReplica>();
  private readonly jobs = new Map<number, Job>();
  private readonly events = new BinaryHeap<RigEvent>((left, right) => left.at < right.at);
  private readonly calls = new Map<CallId, { readonly load: LoadClass; readonly at: number }>();
  private readonly random = createRandom(11);
  private handled = 0;

  constructor(
    private readonly classes: readonly LoadClass[],
    shardCount = 4,
    private readonly setup: ReplicaSetup = ONE_REGION,
  ) {
    const built = feedingGateway(
      shardCount,
      (shards) => classes.map((load) => routeOf(load, shards)),
      setup,
    );
    this.gateway = built.gateway;
    this.shards = built.shards;
    for (const load of classes) {
      this.results.set(load.name, { offered: 0, served: 0, timely: 0 });
    }
  }

  /** Runs the load; `rateAt` gives the factor of the rate of a class at a time. */
  run(untilMs: number, rateAt: (load: LoadClass, at: number) => number = () => 1): void {
    this.classes.forEach((load) => this.scheduleArrival(load, 0, untilMs, rateAt));
    this.handleEffects();
    for (let next = this.events.pop(); next !== undefined; next = this.events.pop()) {
      this.gateway.now = Math.max(this.gateway.now, next.at);
      next.run();
      this.handleEffects();
    }
  }

  /** Share of the offered parts of a class that were delivered before the deadline. */
  servedShare(name: string): number {
    const { served = 0, offered = 1 } = this.results.get(name) ?? {};
    return served / offered;
  }

  /** Share of the offered parts of a class that were delivered within the objective. */
  timelyShare(name: string): number {
    const { timely = 0, offered = 1 } = this.results.get(name) ?? {};
    return timely / offered;
  }

  /** Share of all offered parts that were delivered before their deadlines. */
  get totalShare(): number {
    const all = [...this.results.values()];
    const sum = (read: (each: Served) => number) =>
      all.reduce((total, each) => total + read(each), 0);
    return sum(({ served }) => served) / sum(({ offered }) => offered);
  }

  private after(delayMs: number, run: () => void): void {
    this.events.push({ at: this.gateway.now + delayMs, run });
  }

  private scheduleArrival(
    load: LoadClass,
    at: number,
    untilMs: number,
    rateAt: (load: LoadClass, at: number) => number,
  ): void {
    const gapMs = (-Math.log(1 - this.random.next()) * 1_000) / (load.perSecond * rateAt(load, at));
    const next = at + gapMs;
    if (next < untilMs) {
      this.events.push({
        at: next,
        run: () => {
          this.arrive(load);
          this.scheduleArrival(load, next, untilMs, rateAt);
        },
      });
    }
  }

  private arrive(load: LoadClass): void {
    const { name, route = name, objectiveMs, deadlineMs } = load;
    const call = this.gateway.receiveSubquery({
      route,
      shards: this.shards,
      objectiveMs,
      partsWithinMs: objectiveMs - 24,
      deadlineMs: deadlineMs - 25,
    });
    this.calls.set(call, { load, at: this.gateway.now });
    this.resultOf(load).offered += this.shards.length;
  }

  private resultOf({ name }: LoadClass): Served {
    const result = this.results.get(name) ?? { offered: 0, served: 0, timely: 0 };
    this.results.set(name, result);
    return result;
  }

  private handleEffects(): void {
    const { effects } = this.gateway;
    for (; this.handled < effects.length; this.handled += 1) {
      const effect = effects[this.handled];
      if (effect !== undefined) {
        this.handleEffect(effect);
      }
    }
  }

  private handleEffect(effect: GatewayEffect): void {
    switch (effect.type) {
      case 'send-attempt':
        this.after(this.linkOf(effect), () => this.receive(effect));
        break;
      case 'set-scheduling-timer':
        this.events.push({
          at: effect.at,
          run: () => this.gateway.emit({ type: 'scheduling-due', at: this.gateway.now }),
        });
        break;
      case 'set-request-timer':
        this.events.push({ at: effect.at, run: () => this.fireTimer(effect.call, effect.at) });
        break;
      case 'abort-attempt':
        this.after(effect.withinMs, () => this.abort(effect.attempt));
        break;
      case 'answer-subquery': {
        const known = this.calls.get(effect.call);
        if (known !== undefined) {
          const result = this.resultOf(known.load);
          const elapsedMs = this.gateway.now - known.at;
          result.served += effect.part.shards.length;
          result.timely += elapsedMs <= known.load.objectiveMs - 16 ? effect.part.shards.length : 0;
        }
        break;
      }
      default:
    }
  }

  /** Emits the end of a request's timer unless it has been set to another time since. */
  private fireTimer(call: CallId, at: number): void {
    if (this.gateway.timers.get(call) === at) {
      this.gateway.timers.delete(call);
      this.gateway.emit({ type: 'request-due', at: this.gateway.now, call });
    }
  }

  private replicaOf(id: string): SimulatedReplica {
    const replica = this.replicas.get(id) ?? { running: new Set(), queue: [] };
    this.replicas.set(id, replica);
    return replica;
  }

  private linkOf({ replica }: SendAttempt): number {
    return this.setup.linkMs(replica.zone);
  }

  private loadOf({ running, queue }: SimulatedReplica): LoadReport | undefined {
    const { reportsLoad, slots } = this.setup;
    return reportsLoad ? { running: running.size, waiting: queue.length, slots } : undefined;
  }

  private receive(send: SendAttempt): void {
    const replica = this.replicaOf(send.replica.id);
    if (replica.queue.length >= this.setup.maxQueue) {
      this.refused += 1;
      const load = this.loadOf(replica);
      const refusal = {
        type: 'refused',
        reason: 'full',
        ...(load !== undefined && { load }),
      } as const;
      this.after(this.linkOf(send), () => this.gateway.end(send, refusal));
      return;
    }
    const name = this.calls.get(send.call)?.load.name;
    const workMs = this.classes.find((load) => load.name === name)?.workMs ?? 1;
    const job: Job = { send, workMs: workMs * (0.5 + this.random.next()), isAborted: false };
    this.jobs.set(send.attempt, job);
    replica.queue.push(job);
    this.mostAtReplica = Math.max(this.mostAtReplica, replica.queue.length + replica.running.size);
    this.startNext(replica);
  }

  private startNext(replica: SimulatedReplica): void {
    while (replica.running.size < this.setup.slots) {
      const job = replica.queue.shift();
      if (job === undefined) {
        return;
      }
      replica.running.add(job);
      const factor = this.slowdownOf(job.send.replica.id, this.gateway.now);
      this.after(job.workMs * factor, () => this.finish(replica, job));
    }
  }

  private finish(replica: SimulatedReplica, job: Job): void {
    const load = this.loadOf(replica);
    replica.running.delete(job);
    this.jobs.delete(job.send.attempt);
    this.startNext(replica);
    if (!job.isAborted) {
      const answer = { status: 200, headers: [], body: Buffer.alloc(16), signature: 'signed' };
      const report = load === undefined ? {} : { load };
      const result: AttemptResult = { type: 'answered', answer, ...report, closing: false };
      this.after(this.linkOf(job.send), () => this.gateway.end(job.send, result));
    }
  }

  /** Ends an attempt that the gateway gave up; a running one occupies its slot until its work is done. */
  private abort(attempt: number): void {
    const job = this.jobs.get(attempt);
    if (job === undefined || job.isAborted) {
      return;
    }
    job.isAborted = true;
    const replica = this.replicaOf(job.send.replica.id);
    const place = replica.queue.indexOf(job);
    if (place >= 0) {
      replica.queue.splice(place, 1);
      this.jobs.delete(attempt);
    }
    this.gateway.end(job.send, { type: 'failed', problem: 'aborted', mayHaveRun: true });
  }
}
