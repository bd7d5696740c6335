/**
 * Measures the processor time of the core per leg, for coordinator and feeder together, without
 * drivers, codec or sockets. Not a test: build with `npx tsc -p tsconfig.json --noEmit false --outDir out/bench`
 * and run `node out/bench/test/bench/core-leg-cost.js`.
 */
import type { Effect, SendAttempt } from '../../src/core/effect.js';
import type { Event } from '../../src/core/event.js';
import type { NodeId } from '../../src/core/identifiers.js';
import { step } from '../../src/core/reducer.js';
import type { LegResult } from '../../src/protocol/leg-messages.js';
import { makeRow, VirtualTier } from '../query/virtual-tier.js';

const QUERIES = 600;
const SERVICES = 50;
const SHARDS_PER_SERVICE = 4;
const LEGS = SERVICES * SHARDS_PER_SERVICE;

type Pending = readonly [NodeId, Event];

/** Appends the events that follow from `effects` to `queue`; each attempt is answered with three items. */
const applyEffects = (
  from: NodeId,
  effects: readonly Effect[],
  queue: Pending[],
  at: number,
): void => {
  const sent: SendAttempt[] = [];
  for (const effect of effects) {
    if (effect.type === 'send-attempt') {
      sent.push(effect);
    } else if (effect.type === 'send-link') {
      const { message, to } = effect;
      queue.push([to, { type: 'link-message-arrived', at, from, message }]);
    }
  }
  for (const { leg, context } of sent) {
    const items = [1, 2, 3].map((score) => ({ id: `${leg.shard}-${score}`, score, value: null }));
    const { request, snapshot } = context;
    const load = { inFlight: 1, queued: 0 };
    const outcome = { type: 'answered', request, shard: leg.shard, snapshot, items, load } as const;
    const result: LegResult = { attempt: leg.attempt, outcome, queuedMs: 0, serviceMs: 4 };
    queue.push([from, { type: 'attempts-ended', at, results: [result] }]);
  }
};

const run = (nodesPerZone: number): number => {
  const tier = new VirtualTier({
    nodesPerZone,
    services: SERVICES,
    shardsPerService: SHARDS_PER_SERVICE,
    rows: [makeRow()],
  });
  const [node] = tier.nodeIds as [NodeId];
  const query = { partner: 'ensemble', route: 'roster', kind: 'page', payload: null };
  let at = tier.now;
  let spent = 0n;
  for (let number = 0; number < QUERIES; number += 1) {
    at += 5;
    const arrived = { type: 'query-arrived', at, call: `c${number}`, query } as unknown as Event;
    const queue: Pending[] = [[node, arrived]];
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const [to, event] = next;
      const begin = process.hrtime.bigint();
      const effects = step(tier.state(to), event);
      spent += process.hrtime.bigint() - begin;
      applyEffects(to, effects, queue, at);
    }
  }
  return Number(spent) / 1_000 / (QUERIES * LEGS);
};

for (const nodes of [1, 4]) {
  run(nodes);
  const rounds = [run(nodes), run(nodes), run(nodes)].sort((a, b) => a - b);
  const median = (rounds[1] as number).toFixed(2);
  console.log(`${nodes} nodes: ${median} us of processor time a leg in step, median of 3 rounds`);
}
