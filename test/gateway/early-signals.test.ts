import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { listenForSignals } from '../../src/gateway/runtime/early-signals.js';

const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
const others = new Map(SIGNALS.map((signal) => [signal, process.listeners(signal)]));

afterEach(() => {
  for (const signal of SIGNALS) {
    const own = process.listeners(signal).filter((each) => !others.get(signal)?.includes(each));
    own.forEach((listener) => process.off(signal, listener));
  }
});

describe('signals during the start', () => {
  // A gateway that was stopped during its start counted its grace period from the end of the start, and was killed.
  it('are passed on with the time since the first of them was received', async () => {
    const signals = listenForSignals();
    process.emit('SIGHUP', 'SIGHUP');
    await delay(60);
    process.emit('SIGHUP', 'SIGHUP');
    const received: [string, number][] = [];
    signals.setHandler((action, receivedMsAgo) => received.push([action, receivedMsAgo]));
    expect(received).toEqual([['reload', expect.any(Number)]]);
    expect(received[0]?.[1]).toBeGreaterThanOrEqual(55);
    process.emit('SIGHUP', 'SIGHUP');
    expect(received[1]).toEqual(['reload', 0]);
  });
});
