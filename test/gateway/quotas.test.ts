import { describe, expect, it } from 'vitest';
import { rankByRendezvous } from '../../src/gateway/peers/rendezvous.js';
import { allowedInWindow, divideQuota } from '../../src/gateway/quotas/divide-quota.js';
import { waitingForTokens } from '../../src/gateway/quotas/take-token.js';
import { step } from '../../src/gateway/reducer.js';
import { QUOTA_BOUNDS, type QuotaGateway, QuotaNetwork, tenantOf } from './quota-network.js';

const HOT = tenantOf('hot', 20, 20);
const HOT_LIMIT = { ratePerSecond: 20, burst: 20 };

const countOf = (results: readonly string[], result: string): number =>
  results.filter((other) => other === result).length;

it('serves a large tenant within its quota at 40 gateways without a refusal (load: 12 requests per second)', () => {
  const network = new QuotaNetwork(40, [HOT]);
  network.load('hot', 12, 16_000, 46_000);
  network.runUntil(47_000);
  const results = network.results('hot');
  expect(countOf(results, 'granted')).toBe(results.length);
  expect(results.length).toBeGreaterThan(300);
  expect(network.messages / 2 / results.length).toBeLessThan(1.5);
});

it('admits a tenant with 7 times its rate up to its quota, with few messages (load: hot tenant)', () => {
  const network = new QuotaNetwork(40, [HOT]);
  network.load('hot', 140, 16_000, 26_000);
  network.runUntil(27_000);
  const granted = network.granted('hot');
  expect(granted).toBeGreaterThan(200);
  expect(network.mostInWindow('hot')).toBeLessThanOrEqual(allowedInWindow(HOT_LIMIT, QUOTA_BOUNDS));
  expect(network.messages / 2 / network.results('hot').length).toBeLessThan(0.5);
  expect(network.logs.filter((event) => event === 'tenant-over-limit')).toHaveLength(1);
});

it('serves small tenants at any gateway (load: 300 tenants of 0.05 requests per second, quota 0.08 and burst 0.08)', () => {
  const names = Array.from({ length: 300 }, (_, index) => `small-${index}`);
  const network = new QuotaNetwork(
    30,
    names.map((name) => tenantOf(name, 0.08, 0.08)),
  );
  names.forEach((name) => network.load(name, 0.05, 16_000, 46_000));
  network.runUntil(47_000);
  const refused = network.outcomes.filter(({ result }) => result !== 'granted');
  expect(network.outcomes.length).toBeGreaterThan(300);
  expect(refused.length / network.outcomes.length).toBeLessThan(0.01);
});

it.each([
  { rate: 2, burst: 2, load: 1.9, gateways: 9 },
  { rate: 20, burst: 20, load: 19, gateways: 85 },
])(
  'serves a tenant of $rate/s near its quota as one bucket would (failure: tokens leased to other gateways)',
  ({ rate, burst, load, gateways }) => {
    const { capacity } = divideQuota({ ratePerSecond: rate, burst }, QUOTA_BOUNDS);
    for (const seed of [1, 2, 3]) {
      const network = new QuotaNetwork(85, [tenantOf('t', rate, burst)], seed);
      network.load('t', load, 16_000, 76_000, network.gateways.slice(0, gateways));
      network.runUntil(77_000);
      let level = capacity;
      let filledAt = 0;
      let possible = 0;
      for (const { at } of network.outcomes) {
        level = Math.min(capacity, level + ((at - filledAt) / 1_000) * rate);
        filledAt = at;
        possible += level >= 1 ? 1 : 0;
        level -= level >= 1 ? 1 : 0;
      }
      expect(network.granted('t')).toBeGreaterThanOrEqual(possible * 0.995);
    }
  },
);

it('follows demand that moves between gateways (load: wave of 5 s over three groups of gateways)', () => {
  const network = new QuotaNetwork(30, [HOT]);
  for (let wave = 0; wave < 6; wave += 1) {
    const group = network.gateways.slice((wave % 3) * 10, (wave % 3) * 10 + 10);
    network.load('hot', 15, 16_000 + wave * 5_000, 21_000 + wave * 5_000, group);
  }
  network.runUntil(47_000);
  const results = network.results('hot');
  expect(countOf(results, 'granted') / results.length).toBeGreaterThan(0.99);
});

it('admits the requests of a tenant that was seen recently without waiting', () => {
  const network = new QuotaNetwork(10, [HOT]);
  network.load('hot', 10, 16_000, 36_000);
  network.runUntil(37_000);
  const late = network.outcomes.filter(({ at }) => at > 20_000);
  const immediate = late.filter(({ waitedMs }) => waitedMs === 0);
  expect(immediate.length / late.length).toBeGreaterThan(0.7);
});

it('serves small tenants at once while their owner is dead, and refuses in time when nobody answers', () => {
  const network = new QuotaNetwork(10, [tenantOf('small', 0.5, 1)]);
  network.runUntil(16_000);
  const keepers = network.keepersOf('small');
  const [owner] = keepers;
  const holder = network.gateways.find((gateway) => !keepers.includes(gateway));
  if (owner === undefined || holder === undefined) {
    throw new Error('no owner or holder');
  }
  network.kill(owner);
  network.request(holder, 'small');
  network.runUntil(17_000);
  expect(network.results('small')).toEqual(['granted']);
  expect(network.outcomes[0]?.waitedMs).toBeLessThan(15);
  keepers.forEach((keeper) => network.kill(keeper));
  network.request(holder, 'small');
  network.runUntil(18_000);
  expect(network.results('small')).toEqual(['granted', 'limit-unavailable']);
  expect(network.outcomes[1]?.waitedMs).toBeLessThan(30);
});

it('serves tenants at once after all gateways restart together, within the bound', () => {
  const small = tenantOf('small', 0.08, 0.08);
  const network = new QuotaNetwork(20, [HOT, small]);
  network.load('hot', 12, 16_000, 30_000);
  network.runUntil(20_000);
  network.gateways.forEach((gateway) => network.kill(gateway));
  network.runUntil(20_300);
  network.gateways.forEach((gateway) => network.restart(gateway));
  network.at(20_310, () => network.request(network.gateway(3), 'small'));
  network.runUntil(31_000);
  expect(network.results('small')).toEqual(['granted']);
  const after = network.outcomes.filter(({ at, tenant }) => at > 20_300 && tenant === 'hot');
  const granted = after.filter(({ result }) => result === 'granted');
  expect(granted.length / after.length).toBeGreaterThan(0.85);
  expect(network.mostInWindow('hot')).toBeLessThanOrEqual(allowedInWindow(HOT_LIMIT, QUOTA_BOUNDS));
});

it('keeps the bound without slack when the owner restarts at once (failure: a quick restart)', () => {
  const bounds = { ...QUOTA_BOUNDS, quotaOvershoot: 0, quotaSlack: 0 };
  const network = new QuotaNetwork(10, [HOT], 1, true, bounds);
  network.load('hot', 140, 16_000, 40_000);
  for (let time = 20_000; time < 38_000; time += 6_000) {
    network.at(time, () => {
      const owners = network.keepersOf('hot').slice(0, 1);
      owners.forEach((owner) => network.kill(owner));
      network.at(time + 20, () => owners.forEach((owner) => network.restart(owner)));
    });
  }
  network.runUntil(41_000);
  expect(network.mostInWindow('hot')).toBeLessThanOrEqual(allowedInWindow(HOT_LIMIT, bounds));
  expect(network.granted('hot')).toBeGreaterThan(400);
});

it('starts a backup with an empty bucket (failure: backups that restart repeatedly)', () => {
  const network = new QuotaNetwork(10, [HOT]);
  network.runUntil(16_000);
  const keepers = network.keepersOf('hot');
  const [owner, second] = keepers;
  const holder = network.gateways.find((gateway) => !keepers.includes(gateway));
  if (owner === undefined || second === undefined || holder === undefined) {
    throw new Error('no keepers or holder');
  }
  network.kill(owner);
  network.kill(second);
  network.restart(second);
  network.request(holder, 'hot');
  network.runUntil(16_100);
  expect(network.outcomes.map(({ result }) => result)).toEqual(['granted']);
  expect(second.state.quotas.backups.get('hot')?.available).toBeLessThan(0.1);
});

it('asks no backup that is suspected of having failed', () => {
  const network = new QuotaNetwork(10, [HOT]);
  network.runUntil(16_000);
  const keepers = network.keepersOf('hot');
  const holder = network.gateways.find((gateway) => !keepers.includes(gateway));
  const [owner, second] = keepers;
  if (holder === undefined || owner === undefined || second === undefined) {
    throw new Error('no keepers or holder');
  }
  [owner, second].forEach((keeper) => {
    network.kill(keeper);
    holder.state.peers.suspect(keeper.name, network.localTime(holder));
  });
  network.request(holder, 'hot');
  network.runUntil(16_100);
  expect(network.outcomes.map(({ result }) => result)).toEqual(['granted']);
  expect(network.outcomes[0]?.waitedMs).toBeLessThan(3);
});

it('keeps the bound when the owner loses the store and another gateway becomes the owner', () => {
  const network = new QuotaNetwork(10, [HOT]);
  network.load('hot', 140, 16_000, 60_000);
  network.runUntil(20_000);
  const [owner] = network.keepersOf('hot');
  if (owner === undefined) {
    throw new Error('no owner');
  }
  network.setStore(owner, false);
  network.unlist(owner);
  network.runUntil(61_000);
  const other = network.gateways.find((gateway) => gateway !== owner);
  expect(network.keepersOf('hot', other)[0]).not.toBe(owner);
  expect(network.mostInWindow('hot')).toBeLessThanOrEqual(allowedInWindow(HOT_LIMIT, QUOTA_BOUNDS));
  const last = network.outcomes.filter(({ at, result }) => at > 50_000 && result === 'granted');
  expect(last.length).toBeGreaterThan(180);
});

it('forgets the bucket of a tenant that another gateway owns, also if nobody asks (failure: ownership that comes back)', () => {
  const network = new QuotaNetwork(3, [HOT]);
  network.load('hot', 10, 16_000, 20_000);
  network.runUntil(20_000);
  const [owner] = network.keepersOf('hot');
  expect(owner?.state.quotas.owned.has('hot')).toBe(true);
  const newer = Array.from({ length: 50 }, (_, index) => `newer-${index}`).find(
    (name) =>
      rankByRendezvous('tenant/hot', [
        { name, zone: '', address: { host: '', port: 0 }, capacity: 1 },
        ...network.gateways.map(({ record }) => ({ ...record, capacity: 1 })),
      ])[0]?.name === name,
  );
  network.add(newer ?? '');
  network.runUntil(26_000);
  expect(owner?.state.quotas.owned.has('hot')).toBe(false);
});

it('binds a lowered quota one window after the gateways have learned of it', () => {
  const network = new QuotaNetwork(20, [HOT]);
  network.load('hot', 60, 16_000, 40_000);
  network.runUntil(22_000);
  const lowered = tenantOf('hot', 2, 2);
  network.configure([lowered]);
  network.runUntil(41_000);
  network.outcomes.splice(
    0,
    network.outcomes.findIndex(({ at }) => at > 27_000),
  );
  const allowed = allowedInWindow({ ratePerSecond: 2, burst: 2 }, QUOTA_BOUNDS);
  expect(network.mostInWindow('hot')).toBeLessThanOrEqual(allowed);
});

it('gives urgent requests of a tenant over its quota more tokens, and others some', () => {
  const network = new QuotaNetwork(1, [tenantOf('hot', 10, 5)]);
  const served = [0, 0];
  for (let time = 16_000; time < 36_000; time += 25) {
    network.at(time, () => {
      const priority = (time / 25) % 2;
      const before = network.granted('hot');
      network.request(network.gateway(0), 'hot', 5_000, priority);
      served[priority] = (served[priority] ?? 0) + network.granted('hot') - before;
    });
  }
  network.runUntil(37_000);
  const [urgent = 0, other = 0] = served;
  expect(urgent).toBeGreaterThan(1.5 * other);
  expect(other).toBeGreaterThan(urgent / 5);
});

describe('a request that waits for a token', () => {
  const waitingAt = (network: QuotaNetwork): QuotaGateway => {
    network.runUntil(16_000);
    const [owner] = network.keepersOf('hot');
    const holder = network.gateways.find((gateway) => gateway !== owner);
    if (owner === undefined || holder === undefined) {
      throw new Error('no owner or holder');
    }
    network.kill(owner);
    network.request(holder, 'hot');
    expect(waitingForTokens(holder.state)).toBe(1);
    return holder;
  };

  it('is discarded when its caller leaves', () => {
    const network = new QuotaNetwork(5, [HOT]);
    const { state } = waitingAt(network);
    const [call = 0] = state.quotas.waiting.keys();
    const left = step(state, { type: 'caller-left', at: network.now, call });
    expect(left).toEqual([{ type: 'discard-call', call }]);
    expect(waitingForTokens(state)).toBe(0);
  });

  it('is not admitted by a token that was granted long ago (failure: an answer that is under way for 91 ms)', () => {
    const network = new QuotaNetwork(5, [HOT]);
    const holder = waitingAt(network);
    const { state } = holder;
    const at = network.localTime(holder);
    for (const [id, ageMs] of [
      [9_001, 91],
      [9_002, 89],
    ] as const) {
      state.quotas.exchanges.set(id, {
        tenant: 'hot',
        peer: 'g9',
        sentAt: at - ageMs,
        call: undefined,
      });
      step(state, {
        type: 'peer-request-answered',
        at,
        id,
        peer: 'g9',
        answer: {
          type: 'tokens',
          tenant: 'hot',
          sequence: 0,
          role: 'backup',
          granted: 1,
          ahead: 0,
          isRenewed: false,
          validMs: 3_000,
          returnLimit: 0,
          availableInMs: 0,
        },
      });
      expect(waitingForTokens(state)).toBe(ageMs > 90 ? 1 : 0);
    }
  });

  it('keeps a process that stops from ending', () => {
    const network = new QuotaNetwork(5, [HOT]);
    const { state } = waitingAt(network);
    const at = 20_000;
    step(state, { type: 'stop-requested', at, signalledMsAgo: 0 });
    const ended = (): boolean =>
      step(state, { type: 'stop-due', at: at + 4_000, openExchanges: 0 }).some(
        ({ type }) => type === 'end-process',
      );
    expect(ended()).toBe(false);
    state.quotas.waiting.clear();
    expect(ended()).toBe(true);
  });
});

it('tells callers of a tenant over its quota when a token is due, with jitter', () => {
  const network = new QuotaNetwork(5, [tenantOf('slow', 0.5, 1)]);
  const [owner] = (network.runUntil(16_000), network.keepersOf('slow'));
  const holder = network.gateways.find((gateway) => gateway !== owner);
  for (let time = 16_000; holder !== undefined && time < 17_000; time += 20) {
    network.at(time, () => network.request(holder, 'slow'));
  }
  network.runUntil(18_000);
  const refused = network.outcomes.filter(({ result }) => result === 'over-limit');
  expect(refused.length).toBeGreaterThan(30);
  const delays = refused.map(({ retryAfterMs = 0 }) => retryAfterMs);
  expect(Math.max(...delays)).toBeLessThanOrEqual(3_100);
  expect(new Set(delays).size).toBeGreaterThan(20);
});

it('returns the tokens of requests that did not run (failure: replicas refuse nine of ten requests)', () => {
  const network = new QuotaNetwork(20, [HOT]);
  network.unrunShare = 0.9;
  network.unrunMs = 200;
  network.load('hot', 140, 16_000, 36_000);
  network.runUntil(37_000);
  // Without the return, 20 + 20 x 20 of the requests are admitted, and a tenth of them run.
  expect(network.granted('hot')).toBeGreaterThan(100);
  expect(network.mostInWindow('hot')).toBeLessThanOrEqual(allowedInWindow(HOT_LIMIT, QUOTA_BOUNDS));
});

it('sends no message and sets no timer where limits are not enforced', () => {
  const network = new QuotaNetwork(5, [{ name: 'free', keyDigests: ['k'] }]);
  network.load('free', 50, 0, 10_000);
  network.runUntil(11_000);
  expect(network.messages).toBe(0);
  expect(network.gateways.every(({ state }) => state.quotas.timerAt === undefined)).toBe(true);
  expect(network.results('free').every((result) => result === 'granted')).toBe(true);
});

it('forgets tenants without recent requests', () => {
  const network = new QuotaNetwork(5, [HOT]);
  network.load('hot', 12, 16_000, 20_000);
  network.runUntil(60_000);
  for (const { state } of network.gateways) {
    const { leases, owned, backups, exchanges } = state.quotas;
    expect([leases.size, owned.size, backups.size, exchanges.size]).toEqual([0, 0, 0, 0]);
  }
});
