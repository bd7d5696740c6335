/**
 * Seen: six seconds after the store had acknowledged a version, all gateways of a zone still routed by the one
 * before. They sent requests to the old service and answered 404 on a route that had been added, until the next
 * change. No process had ended, the store answered every probe, and the zone's reader said that it was current.
 *
 * How it came about: the store stopped feeding watches for a second, reset them, and dropped its history. The
 * reader made its watch again between the last two. The store accepted it, fed it nothing, and answered
 * "history gone" only when something changed or the watch's time was over, which was 25 seconds.
 *
 * Cause: a watch that waits was taken for proof that nothing changes, and a watch that was cut was made again
 * from the last known revision, as if nothing had been missed. What proved it: the same interruption played
 * on the code of that time, with the logs of all gateways; the reader's watch ends "history gone" 6.6 s after
 * it was made, on all other readers after 0.1 s.
 *
 * The last tests hold a cause found beside it: what a reader learns from another reader was kept from its own
 * followers, who were told that it was current.
 */
import { describe, expect, it } from 'vitest';
import type { GatewayEffect } from '../../src/gateway/effect.js';
import type { Route } from '../../src/gateway/model/route.js';
import type { ReaderUpdate } from '../../src/gateway/readers/reader-update.js';
import { step } from '../../src/gateway/reducer.js';
import { ReaderNetwork, type VirtualNode } from './reader-network.js';
import { configurationOf, replicaOf } from './virtual-store.js';

/** The bound within which a change must be known, in milliseconds. */
const BOUND_MS = 3_000;

/** Enough for a start, and for the lists of gateways to settle. */
const SETTLED_MS = 8_000;

/** For so long the store feeds no watch. */
const WITHHELD_MS = 1_000;

/** From the reset of the watches to the loss of the history: all of them have been made again by then. */
const HISTORY_LOSS_DELAY_MS = 200;

/** A pause before a call is made again, a list, and the news of it. */
const REREAD_MS = 170;

const routeOf = (pathPrefix: string): Route => ({
  name: `route ${pathPrefix}`,
  host: 'shop.example',
  pathPrefix,
  repeatable: true,
  timeoutMs: 2_000,
  objectiveMs: 400,
  maxAttempts: 2,
  priority: 1,
  target: { type: 'service', service: 's0' },
});

const networkOf = (names: readonly string[]): ReaderNetwork => {
  const network = new ReaderNetwork();
  network.store.put('configuration', 'main', configurationOf(1, [routeOf('/first/')]));
  network.store.put('replicas', 'r-0', replicaOf('r-0'));
  network.store.put('replicas', 'r-1', replicaOf('r-1'));
  for (const name of names) {
    network.add(name, name.split('-')[0] ?? '', 1, BOUND_MS);
  }
  network.startAll();
  network.advance(SETTLED_MS);
  return network;
};

const threeZones = (): ReaderNetwork =>
  networkOf(['bole', 'arada', 'hall'].flatMap((zone) => [0, 1, 2].map((of) => `${zone}-${of}`)));

const versionsOf = (network: ReaderNetwork): readonly number[] => [
  ...new Set(network.nodes.map(({ version }) => version)),
];

/** A route is added, a replica drains and a zone is evacuated while watches hear nothing; then they are cut. */
const changeWhileWithheld = (network: ReaderNetwork): void => {
  network.withholdChanges();
  const routes = [routeOf('/first/'), routeOf('/added/')];
  network.put('configuration', 'main', configurationOf(2, routes));
  network.put('replicas', 'r-0', replicaOf('r-0', true));
  network.put('evacuations', 'hall', { zone: 'hall' });
  network.advance(WITHHELD_MS);
  network.cutWatches();
};

const refusalOf = (effects: readonly GatewayEffect[]): string | undefined => {
  const answer = effects.find((effect) => effect.type === 'answer-caller');
  return answer?.type === 'answer-caller' && answer.response.type === 'refusal'
    ? answer.response.reason
    : undefined;
};

const sendRequest = (node: VirtualNode, path: string, at: number): readonly GatewayEffect[] => {
  const request = { requestId: 'r', fingerprint: 'r', host: 'shop.example', path };
  return step(node.state, { type: 'request-received', at, call: 1, request });
};

describe('readers whose watches were cut', () => {
  it('read what they missed at once even where new watches hear nothing', () => {
    const network = threeZones();
    changeWhileWithheld(network);
    network.advance(HISTORY_LOSS_DELAY_MS);
    network.forgetHistory();
    network.advance(REREAD_MS);
    expect(versionsOf(network)).toEqual([2]);
    for (const { state } of network.nodes) {
      expect(state.replicas.find('r-0')?.record.draining).toBe(true);
      expect([...state.evacuatedZones]).toEqual(['hall']);
    }
  });

  it('know it within the bound even where the new watches go silent too', () => {
    const network = threeZones();
    changeWhileWithheld(network);
    network.advance(HISTORY_LOSS_DELAY_MS);
    network.forgetHistory();
    network.advance(WITHHELD_MS);
    network.silenceWatches();
    network.advance(BOUND_MS - 2 * WITHHELD_MS - HISTORY_LOSS_DELAY_MS);
    expect(versionsOf(network)).toEqual([2]);
  });

  it('refuse nothing on a route that was added meanwhile', () => {
    const network = threeZones();
    changeWhileWithheld(network);
    network.advance(HISTORY_LOSS_DELAY_MS);
    network.forgetHistory();
    network.advance(REREAD_MS);
    const reasons = network.nodes.map((node) =>
      refusalOf(sendRequest(node, '/added/x', network.now)),
    );
    expect(new Set(reasons)).toEqual(new Set([undefined]));
  });
});

describe('a list after a cut', () => {
  it('is told to followers as what it has changed', () => {
    const network = threeZones();
    const updates: ReaderUpdate[] = [];
    network.onUpdate = (news) => updates.push(news);
    changeWhileWithheld(network);
    network.advance(REREAD_MS);
    const objects = updates.flatMap((news) => (news.type === 'status' ? [] : [news]));
    expect(objects.every(({ type }) => type === 'changes')).toBe(true);
    const replicas = objects.filter(({ collection }) => collection === 'replicas');
    expect(new Set(replicas.flatMap((news) => news.objects.map(({ name }) => name)))).toEqual(
      new Set(['r-0']),
    );
  });

  it('tells what is gone since the watch was cut', () => {
    const network = threeZones();
    network.withholdChanges();
    network.put('replicas', 'r-1', undefined);
    network.advance(WITHHELD_MS);
    network.cutWatches();
    network.advance(REREAD_MS);
    for (const { state } of network.nodes) {
      expect(state.replicas.find('r-1')?.goneAt).toBeDefined();
    }
  });

  it('is repeated ever less often where the store cuts each watch that is made', () => {
    const network = threeZones();
    network.calls.length = 0;
    for (let ms = 0; ms < 10_000; ms += 10) {
      network.cutWatches();
      network.advance(10);
    }
    const readers = 3;
    const lists = network.calls.filter(({ type }) => type === 'list').length;
    const longestPauses = 10_000 / 800;
    expect(lists / readers / 4).toBeLessThan(2 * longestPauses);
    network.put('configuration', 'main', configurationOf(2));
    network.advance(BOUND_MS);
    expect(versionsOf(network)).toEqual([2]);
  });

  it('brings nothing back where a reader has told more meanwhile', () => {
    const network = threeZones();
    const follower = network.nodes.find(({ state }) => !state.reading.isReading) as VirtualNode;
    const [reader = ''] = follower.state.reading.sources.keys();
    const page = network.store.list({
      type: 'list',
      collection: 'replicas',
      stale: false,
      timeoutMs: 1_000,
    });
    const at = network.now;
    const { revision = 0 } = follower.state.collections.replicas;
    const news: ReaderUpdate = {
      type: 'changes',
      collection: 'replicas',
      objects: [{ name: 'r-0', gone: false, value: replicaOf('r-0', true) }],
      after: revision,
      revision: page.revision + 1,
    };
    step(follower.state, { type: 'reader-told', at, reader, news });
    step(follower.state, { type: 'page-read', at, page });
    expect(follower.state.replicas.find('r-0')?.record.draining).toBe(true);
  });
});

describe('a change in the pause after another one', () => {
  it('is known within the bound even where the next watch goes silent', () => {
    const network = threeZones();
    network.put('configuration', 'main', configurationOf(2));
    network.advance(50);
    network.put('configuration', 'main', configurationOf(3));
    network.put('replicas', 'r-1', replicaOf('r-1', true));
    network.setIgnoresNewWatches(true);
    network.advance(WITHHELD_MS);
    network.setIgnoresNewWatches(false);
    network.advance(BOUND_MS - WITHHELD_MS);
    expect(versionsOf(network)).toEqual([3]);
  });
});

describe('a reader that follows another one', () => {
  /** Gateway `bole-2` learns from `bole-1`, which reads for it and itself learns from `bole-0`. */
  const chainOf = (): readonly [
    ReaderNetwork,
    readonly [VirtualNode, VirtualNode, VirtualNode],
  ] => {
    const network = networkOf(['bole-0', 'bole-1', 'bole-2']);
    const first = network.find(network.readers()[0] ?? '');
    const [last, middle] = network.nodes.filter((node) => node !== first);
    if (last === undefined || middle === undefined) {
      throw new Error('there are fewer than three gateways');
    }
    network.setCut(first, last, true);
    network.advance(BOUND_MS * 2);
    expect([...last.state.reading.sources.keys()]).toEqual([middle.name]);
    expect([...middle.state.reading.sources.keys()]).toEqual([first.name]);
    return [network, [first, middle, last]];
  };

  it('passes on what it is told before it reads it itself', () => {
    const [network, [, middle, last]] = chainOf();
    middle.storeMs = 300;
    network.put('configuration', 'main', configurationOf(2));
    network.put('replicas', 'r-0', replicaOf('r-0', true));
    network.put('evacuations', 'hall', { zone: 'hall' });
    network.advance(REREAD_MS);
    expect(middle.version).toBe(2);
    expect(last.version).toBe(2);
    expect(last.state.replicas.find('r-0')?.record.draining).toBe(true);
    expect([...last.state.evacuatedZones]).toEqual(['hall']);
  });

  it('leaves no follower behind for longer than the bound', () => {
    const [network, [, middle, last]] = chainOf();
    middle.storeMs = 300;
    network.put('configuration', 'main', configurationOf(2));
    network.advance(BOUND_MS);
    expect(middle.version).toBe(2);
    expect(last.version).toBe(2);
  });
});
