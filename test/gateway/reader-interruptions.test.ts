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
 */
import { describe, expect, it } from 'vitest';
import type { GatewayEffect } from '../../src/gateway/effect.js';
import type { Route } from '../../src/gateway/model/route.js';
import { step } from '../../src/gateway/reducer.js';
import { ReaderNetwork, type VirtualNode } from './reader-network.js';
import { configurationOf, replicaOf } from './virtual-store.js';

/** The bound within which a change must be known, in milliseconds. */
const BOUND_MS = 3_000;

/** Enough for a start, and for the lists of gateways to settle. */
const SETTLED_MS = 8_000;

/** For so long the store feeds no watch. */
const DEAF_MS = 1_000;

/** From the reset of the watches to the loss of the history: all of them have been made again by then. */
const UNTIL_FORGOTTEN_MS = 200;

/** A pause before a call is made again, a list, and the news of it. */
const READ_AGAIN_MS = 170;

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
const changeUnheard = (network: ReaderNetwork): void => {
  network.deafenWatches();
  const routes = [routeOf('/first/'), routeOf('/added/')];
  network.put('configuration', 'main', configurationOf(2, routes));
  network.put('replicas', 'r-0', replicaOf('r-0', true));
  network.put('evacuations', 'hall', { zone: 'hall' });
  network.advance(DEAF_MS);
  network.cutWatches();
};

const refusalOf = (effects: readonly GatewayEffect[]): string | undefined => {
  const answer = effects.find((effect) => effect.type === 'answer-caller');
  return answer?.type === 'answer-caller' && answer.response.type === 'refusal'
    ? answer.response.reason
    : undefined;
};

const ask = (node: VirtualNode, path: string, at: number): readonly GatewayEffect[] => {
  const request = { requestId: 'r', host: 'shop.example', path };
  return step(node.state, { type: 'request-received', at, call: 1, request });
};

describe('readers whose watches were cut', () => {
  it('read what they missed at once even where new watches hear nothing', () => {
    const network = threeZones();
    changeUnheard(network);
    network.advance(UNTIL_FORGOTTEN_MS);
    network.forgetHistory();
    network.advance(READ_AGAIN_MS);
    expect(versionsOf(network)).toEqual([2]);
    for (const { state } of network.nodes) {
      expect(state.replicas.find('r-0')?.record.draining).toBe(true);
      expect([...state.evacuatedZones]).toEqual(['hall']);
    }
  });

  it('know it within the bound even where the new watches go silent too', () => {
    const network = threeZones();
    changeUnheard(network);
    network.advance(UNTIL_FORGOTTEN_MS);
    network.forgetHistory();
    network.advance(DEAF_MS);
    network.silenceWatches();
    network.advance(BOUND_MS - 2 * DEAF_MS - UNTIL_FORGOTTEN_MS);
    expect(versionsOf(network)).toEqual([2]);
  });

  it('refuse nothing on a route that was added meanwhile', () => {
    const network = threeZones();
    changeUnheard(network);
    network.advance(UNTIL_FORGOTTEN_MS);
    network.forgetHistory();
    network.advance(READ_AGAIN_MS);
    const reasons = network.nodes.map((node) => refusalOf(ask(node, '/added/x', network.now)));
    expect(new Set(reasons)).toEqual(new Set([undefined]));
  });
});
