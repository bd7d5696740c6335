/** Logs of where a gateway learnt the store's content, and how long its knowledge had been unconfirmed. */
import { describe, expect, it } from 'vitest';
import type { GatewayEffect } from '../../src/gateway/effect.js';
import type { ReaderUpdate } from '../../src/gateway/readers/reader-update.js';
import { step } from '../../src/gateway/reducer.js';
import { confirmedAt } from '../../src/gateway/store/confirmation.js';
import { ReaderNetwork, type VirtualNode } from './reader-network.js';
import { configurationOf } from './virtual-store.js';

const BOUND_MS = 3_000;
const SETTLED_MS = 8_000;

const networkOf = (): ReaderNetwork => {
  const network = new ReaderNetwork();
  network.store.put('configuration', 'main', configurationOf(1));
  ['bole-0', 'bole-1', 'bole-2'].forEach((name) => network.add(name, 'bole', 1, BOUND_MS));
  network.startAll();
  network.advance(SETTLED_MS);
  return network;
};

const followerOf = (network: ReaderNetwork): VirtualNode =>
  network.nodes.find(({ state }) => !state.reading.isReading) as VirtualNode;

const changesOf = (effects: readonly GatewayEffect[]): readonly unknown[] =>
  effects.flatMap((effect) => (effect.type === 'write-log' ? [effect.change] : []));

describe('log of a gateway', () => {
  it('names the reader that sent a version, and how long the configuration had been unconfirmed', () => {
    const network = networkOf();
    const follower = followerOf(network);
    const [reader = ''] = follower.state.reading.sources.keys();
    const { revision = 0, confirmedAt: lastConfirmedAt } = follower.state.collections.configuration;
    const at = lastConfirmedAt + 7_000;
    const news: ReaderUpdate = {
      type: 'changes',
      collection: 'configuration',
      objects: [{ name: 'main', gone: false, value: configurationOf(2) }],
      after: revision,
      revision: revision + 1,
    };
    const effects = step(follower.state, { type: 'reader-update-received', at, reader, news });
    expect(changesOf(effects)).toContainEqual({
      event: 'configuration-in-force',
      version: 2,
      previous: 1,
      routes: 0,
      from: reader,
      unconfirmedMs: 7_000,
    });
  });

  it('reports once that a reader is no longer current', () => {
    const network = networkOf();
    const follower = followerOf(network);
    const [reader = ''] = follower.state.reading.sources.keys();
    const receiveStatus = (): readonly unknown[] => {
      const news: ReaderUpdate = { type: 'status', isCurrent: false };
      return changesOf(
        step(follower.state, { type: 'reader-update-received', at: network.now, reader, news }),
      );
    };
    const change = { event: 'reader-status', reader, isCurrent: false };
    expect(receiveStatus()).toContainEqual(change);
    expect(receiveStatus()).not.toContainEqual(change);
  });

  it('names an unreadable object, whose last known content is kept', () => {
    const network = networkOf();
    const follower = followerOf(network);
    const effects = step(follower.state, {
      type: 'changes-read',
      at: network.now,
      changes: {
        collection: 'configuration',
        objects: [{ name: 'main', gone: false }],
        revision: 1_000,
      },
    });
    expect(changesOf(effects)).toContainEqual({
      event: 'object-unreadable',
      collection: 'configuration',
      name: 'main',
    });
    expect(follower.version).toBe(1);
  });
});

describe('confirmation age of a gateway', () => {
  it('grows at a follower while its reader receives no answer of the store', () => {
    const network = networkOf();
    const follower = followerOf(network);
    const age = (): number => network.now - confirmedAt(follower.state);
    network.advance(BOUND_MS);
    expect(age()).toBeLessThan(BOUND_MS);
    network.nodes.forEach((node) => network.setStore(node, false));
    network.advance(10_000);
    expect(age()).toBeGreaterThan(9_000);
  });
});
