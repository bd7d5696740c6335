/** Callers of a simulated scenario: seeded arrivals sent to live nodes in the partner's zones. */
import { identifier } from '../../core/identifiers.js';
import { createRandom, type Random } from '../../core/random.js';
import type { Deployment } from '../../deployments/deployment.js';
import type { ScenarioLoad } from '../../experiment/scenario.js';
import { Arrivals, buildPayload } from '../../load/arrivals.js';
import type { Call, CallOutcome, EndedCall } from '../../load/call-outcome.js';
import type { CallRecord } from '../call-record.js';
import { deriveSeed } from '../seeds.js';
import { VIRTUAL_EPOCH_MS } from '../node-environment.js';
import type { Simulation } from '../simulation.js';

/** Options of a load. */
export interface SimulatedLoadOptions {
  readonly simulation: Simulation;
  readonly deployment: Deployment;
  readonly load: ScenarioLoad;
  readonly seed: number;
  /** Virtual time at which the measured period begins, in milliseconds. */
  readonly measuredFrom: number;
  /** Virtual time from which no further call is sent, in milliseconds. */
  readonly endAt: number;
}

interface SentCall {
  readonly call: Call;
  readonly record: CallRecord;
}

const outcomeOf = ({ outcome, lost }: CallRecord): CallOutcome => {
  if (outcome === undefined) {
    return { type: 'failed', problem: lost ?? 'no answer' };
  }
  switch (outcome.type) {
    case 'answered':
      return { ...outcome, coverage: outcome.contributed / outcome.shards };
    case 'not-run':
    case 'unknown':
      return outcome;
  }
};

/** Sends the calls of one partner. */
export class SimulatedLoad {
  /** Factor on the arrival rate. */
  factor = 1;
  private readonly arrivals: Arrivals;
  private readonly random: Random;
  private readonly sent: SentCall[] = [];

  constructor(private readonly options: SimulatedLoadOptions) {
    const { deployment, load, seed } = options;
    this.arrivals = new Arrivals({
      deployment,
      seed: deriveSeed(seed, `arrivals ${deployment.partner}`),
      source: deployment.partner,
      wallClock: () => VIRTUAL_EPOCH_MS + Math.floor(options.simulation.now),
      ...(load.routes && { routes: load.routes }),
    });
    this.random = createRandom(deriveSeed(seed, `callers ${deployment.partner}`));
  }

  /** Starts sending calls. */
  start(): void {
    this.scheduleNext();
  }

  /** Returns the calls of the measured period and their outcomes; call after their deadlines. */
  listEnded(): EndedCall[] {
    return this.sent
      .filter(({ call }) => call.sentAtMs >= 0)
      .map(({ call, record }) => ({
        call,
        outcome: outcomeOf(record),
        latencyMs: (record.endedAt ?? this.options.endAt) - record.sentAt,
      }));
  }

  private scheduleNext(): void {
    const { simulation, load, endAt } = this.options;
    const gapMs = this.arrivals.nextGapMs(load.queriesPerSecond * this.factor);
    if (simulation.now + gapMs >= endAt) {
      return;
    }
    simulation.after(gapMs, () => {
      this.sendCall();
      this.scheduleNext();
    });
  }

  private sendCall(): void {
    const { simulation, deployment, measuredFrom } = this.options;
    const call = this.arrivals.nextCall(simulation.now - measuredFrom);
    const node = this.pickNode();
    if (node === undefined) {
      return;
    }
    const { row } = call.item;
    const record = simulation.call(
      node,
      {
        partner: row.partner,
        route: row.route,
        kind: row.kind,
        payload: buildPayload(call),
        ...(call.key !== undefined && { key: call.key }),
        ...(call.idempotencyKey !== undefined && { idempotencyKey: call.idempotencyKey }),
      },
      deployment.clientLatencyMs,
    );
    this.sent.push({ call, record });
  }

  /** Picks a random running node in the partner's zones; callers skip nodes that are down. */
  private pickNode(): string | undefined {
    const zones = new Set<string>(this.options.deployment.zones.map((zone) => identifier(zone)));
    const nodes = [...this.options.simulation.nodes.values()].filter(
      (node) => node.isUp && zones.has(node.zone),
    );
    return nodes[this.random.nextBelow(Math.max(1, nodes.length))]?.name;
  }
}
