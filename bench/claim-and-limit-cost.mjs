/**
 * Measures the cost of a claim, and of a limit with demand at every node, for 3 to 2,200 nodes: processor time
 * of the core, and bytes of the messages sent and received, each in its own frame. Usage: npm run build, then
 * `node bench/claim-and-limit-cost.mjs [--json] [--only claim|limit]`.
 */
import { parseArgs } from 'node:util';
import { rosterObjectName } from '../dist/catalog/keeper-roster.js';
import { chooseKeepers } from '../dist/core/keepers/choose-keepers.js';
import { createMember } from '../dist/core/membership/state.js';
import { createRandom } from '../dist/core/random.js';
import { step } from '../dist/core/reducer.js';
import { createCoreState } from '../dist/core/state.js';
import { requestClaim } from '../dist/core/once/claim.js';
import { claimSubject } from '../dist/core/once/keep-claim.js';
import { admitQuery, releaseQuery } from '../dist/core/admission/admit-query.js';
import { findGrantHolder } from '../dist/core/admission/find-holder.js';
import { MAX_REQUESTERS } from '../dist/core/admission/limit-timing.js';
import { usableAmount } from '../dist/core/admission/limit-use.js';
import { refreshLimits } from '../dist/core/admission/refresh.js';
import { encodeLinkFrame } from '../dist/protocol/codec/link-frame.js';
import { createIdempotencyKey } from '../dist/protocol/idempotency-key.js';
import { buildRow } from '../dist/deployments/row-defaults.js';

const SIZES = [3, 100, 400, 1_000, 2_200];
const CLAIMS = 2_000;
const REPEATS = 5;
const START_WALL_MS = 1_800_000_600_000;
const ROSTER_SIZE = 256;
const LIMITED = buildRow('ensemble', {
  route: 'season-roster',
  kind: 'page',
  services: ['desk'],
  deadlineMs: 400,
  concurrentLimit: 10_000,
});
const LIMIT = { row: 'ensemble/season-roster/page', bound: 'concurrent' };

const identityOf = (index) => ({
  node: `zone-${index % 11}/node-${index}`,
  zone: `zone-${index % 11}`,
  region: 'region',
  address: { host: '10.0.0.1', port: 7_000 + index },
  incarnation: START_WALL_MS,
});

const rosterObjects = (identities) => {
  const current = Math.floor(START_WALL_MS / 600_000);
  const keepers = identities
    .slice(0, ROSTER_SIZE)
    .map(({ node, zone, incarnation }) => ({ node, zone, incarnation }));
  return [current, current + 1].map((period, index) => ({
    name: rosterObjectName(period),
    version: 1,
    revision: index + 1,
    content: { type: 'keepers', roster: { period, keepers } },
  }));
};

const sheetObject = {
  name: 'sheet/ensemble',
  version: 1,
  revision: 3,
  content: {
    type: 'sheet',
    sheet: {
      partner: 'ensemble',
      rows: [{ row: LIMITED, rowVersion: 1, writtenBy: 'bench' }],
      history: [],
    },
  },
};

/** Creates a tier whose cores have the same view. The core of a node is created when it is first used. */
const createTier = (size) => {
  const identities = Array.from({ length: size }, (_, index) => identityOf(index));
  const objects = [...rosterObjects(identities), sheetObject];
  const cores = new Map();
  const coreOf = (node) => {
    const known = cores.get(node);
    if (known !== undefined) {
      return known;
    }
    const self = identities.find((identity) => identity.node === node);
    const state = createCoreState({ self, seeds: [], seed: 1 });
    step(state, { type: 'started', at: 0 });
    for (const identity of identities) {
      state.membership.members.set(identity.node, createMember(identity, 'alive', 0));
    }
    state.membership.viewVersion += 1;
    step(state, { type: 'store-changed', at: 1, after: 0, through: 3, objects });
    cores.set(node, state);
    return state;
  };
  return { identities, coreOf };
};

const linksOf = (effects) => effects.filter((effect) => effect.type === 'send-link');

const median = (values) => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];

const microseconds = () => Number(process.hrtime.bigint()) / 1_000;

/** Delivers messages until none is left; counts the messages, their bytes and the processing time. */
const deliverAll = (tier, from, effects, at, count) => {
  let queue = linksOf(effects).map((effect) => ({ from, effect }));
  while (queue.length > 0) {
    const next = [];
    for (const { from: sender, effect } of queue) {
      count.messages += 1;
      count.bytes += sizeOf(effect.message);
      const state = tier.coreOf(effect.to);
      const startedAt = microseconds();
      const answers = step(state, {
        type: 'link-message-arrived',
        at,
        from: sender,
        message: effect.message,
      });
      count.microseconds += microseconds() - startedAt;
      next.push(...linksOf(answers).map((answer) => ({ from: effect.to, effect: answer })));
    }
    queue = next;
  }
};

const measureClaims = (size) => {
  const tier = createTier(size);
  const coordinator = tier.identities[1].node;
  const state = tier.coreOf(coordinator);
  const random = createRandom(size);
  const count = { messages: 0, bytes: 0, microseconds: 0 };
  const keys = Array.from({ length: CLAIMS }, () =>
    createIdempotencyKey(START_WALL_MS, random.next),
  );
  const roster = rosterObjects(tier.identities)[0].content.roster;
  for (const key of keys) {
    chooseKeepers(roster, 'ensemble', claimSubject('ensemble', key)).nodes.forEach(tier.coreOf);
  }
  keys.forEach((key, index) => {
    const startedAt = microseconds();
    const effects = requestClaim(state, `request-${index}`, 'ensemble', key, 10);
    count.microseconds += microseconds() - startedAt;
    deliverAll(tier, coordinator, effects, 10, count);
  });
  if (state.counters.claims_granted !== CLAIMS) {
    throw new Error(`only ${state.counters.claims_granted} of ${CLAIMS} claims were granted`);
  }
  return {
    messages: count.messages / CLAIMS,
    bytes: count.bytes / CLAIMS,
    microseconds: count.microseconds / CLAIMS,
  };
};

/** Creates the counters of the messages that one node sends and receives. */
const createTraffic = () => ({ messages: 0, bytes: 0, microseconds: 0 });

/** Returns the bytes of one message in its own frame. */
const sizeOf = (message) => encodeLinkFrame([message]).length;

/** A tier in virtual time in which messages arrive without delay; counts the traffic of each node. */
class LimitTier {
  constructor(size, startedAt) {
    this.tier = createTier(size);
    this.traffic = new Map(this.tier.identities.map(({ node }) => [node, createTraffic()]));
    this.now = startedAt;
  }

  /** Executes a step at a node and delivers all messages that follow from it. */
  run(node, act) {
    const queue = [{ node, act }];
    while (queue.length > 0) {
      const next = queue.shift();
      const state = this.tier.coreOf(next.node);
      const traffic = this.traffic.get(next.node);
      const startedAt = microseconds();
      const effects = next.act(state);
      traffic.microseconds += microseconds() - startedAt;
      for (const { to, message } of linksOf(effects)) {
        const size = sizeOf(message);
        for (const end of [next.node, to]) {
          const counted = this.traffic.get(end);
          counted.messages += 1;
          counted.bytes += size;
        }
        const event = { type: 'link-message-arrived', at: this.now, from: next.node, message };
        queue.push({ node: to, act: (state) => step(state, event) });
      }
    }
  }

  clear() {
    for (const traffic of this.traffic.values()) {
      Object.assign(traffic, createTraffic());
    }
  }
}

/** Number of queries that each node starts and ends per step, for a steady demand. */
const PER_NODE = 4;

const useLimit = (state, at) => {
  const row = state.configuration.inForce.rows.get(LIMIT.row);
  const admitted = Array.from({ length: PER_NODE }, () => admitQuery(state, row, at));
  const effects = admitted.flatMap((decision) => decision.effects);
  admitted.filter((decision) => decision.admitted).forEach(() => releaseQuery(state, row, at));
  return effects;
};

/** Returns the nodes from which others request grants, by level. */
const rolesOf = (tier) => {
  const roles = { row: new Set(), zone: new Set(), group: new Set() };
  for (const { node } of tier.identities) {
    const state = tier.coreOf(node);
    for (const asker of ['node', 'group', 'zone']) {
      const asked = findGrantHolder(state, LIMIT.row, asker);
      if (
        asker === 'node' ||
        state.admission.dividers.has(`${LIMIT.row}|${LIMIT.bound}|${asker}`)
      ) {
        roles[asked.level].add(asked.node);
      }
    }
  }
  return roles;
};

const SETTLE_MS = 30_000;
const COUNT_MS = 16_000;
const STEP_MS = 250;

/** Measures a limit with demand at every node, after the grants have settled. */
const measureLimit = (size, maxRequesters) => {
  const run = new LimitTier(size, 5_000);
  const { tier, traffic } = run;
  const order = tier.identities.map(({ node }) => node);
  order.forEach((node) => {
    tier.coreOf(node).admission.maxRequesters = maxRequesters;
    tier.coreOf(node).admission.sequence = START_WALL_MS * 1_024;
  });
  const endAt = run.now + SETTLE_MS + COUNT_MS;
  const countFrom = run.now + SETTLE_MS;
  for (; run.now < endAt; run.now += STEP_MS) {
    if (run.now === countFrom) {
      run.clear();
    }
    for (const node of order) {
      run.run(node, (state) => useLimit(state, run.now));
      run.run(node, (state) => refreshLimits(state, run.now));
    }
  }
  const roles = rolesOf(tier);
  const seconds = COUNT_MS / 1_000;
  const most = (nodes) =>
    [...nodes]
      .map((node) => traffic.get(node))
      .reduce((max, one) => (one.bytes > max.bytes ? one : max), createTraffic());
  const medianTraffic = (nodes) =>
    nodes.map((node) => traffic.get(node)).sort((a, b) => a.bytes - b.bytes)[nodes.length >> 1] ??
    createTraffic();
  const perSecond = ({ messages, bytes, microseconds: time }) => ({
    messages: messages / seconds,
    bytes: bytes / seconds,
    microseconds: time / seconds,
  });
  const withoutRole = order.filter((node) => !Object.values(roles).some((role) => role.has(node)));
  return {
    row: perSecond(most(roles.row)),
    zone: perSecond(most(roles.zone)),
    group: perSecond(most(roles.group)),
    node: perSecond(medianTraffic(withoutRole)),
    refused: order.filter((node) => {
      const use = tier.coreOf(node).admission.uses.get(`${LIMIT.row}|${LIMIT.bound}`);
      return usableAmount(use, run.now) < PER_NODE;
    }).length,
  };
};

const medianOf = (measure) => {
  const runs = Array.from({ length: REPEATS }, measure);
  return Object.fromEntries(
    Object.keys(runs[0]).map((field) => [field, median(runs.map((run) => run[field]))]),
  );
};

/** Variants: all nodes request grants from the row's holder, or from dividers of zones and groups, as the core decides. */
const WAYS = { direct: () => Number.POSITIVE_INFINITY, levels: () => MAX_REQUESTERS };

const { values } = parseArgs({
  options: {
    json: { type: 'boolean', default: false },
    only: { type: 'string' },
  },
});
const rows = SIZES.map((nodes) => ({
  nodes,
  ...(values.only !== 'limit' && { claim: medianOf(() => measureClaims(nodes)) }),
  ...(values.only !== 'claim' && {
    limit: Object.fromEntries(
      Object.entries(WAYS).map(([way, maxRequesters]) => [
        way,
        measureLimit(nodes, maxRequesters()),
      ]),
    ),
  }),
}));

const describeTraffic = (name, { messages, bytes, microseconds: time }) =>
  `${name} ${messages.toFixed(1)} messages/s, ${bytes.toFixed(0)} B/s, ${(time / 1_000).toFixed(2)} ms/s`;

if (values.json) {
  console.log(JSON.stringify(rows));
} else {
  for (const { nodes, claim, limit } of rows) {
    if (claim !== undefined) {
      console.log(
        `${nodes} nodes: claim ${claim.messages.toFixed(1)} messages, ${claim.bytes.toFixed(0)} bytes, ` +
          `${claim.microseconds.toFixed(1)} us over all nodes`,
      );
    }
    for (const [way, { refused, ...roles }] of Object.entries(limit ?? {})) {
      const parts = Object.entries(roles).map(([role, traffic]) => describeTraffic(role, traffic));
      console.log(`${nodes} nodes, ${way}: ${parts.join('; ')}; ${refused} nodes short`);
    }
  }
}
