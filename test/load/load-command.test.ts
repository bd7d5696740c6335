import { describe, expect, it } from 'vitest';
import { ExitCode } from '../../src/cli/exit-code.js';
import { loadCommand } from '../../src/cli/load.js';
import { LocalTier, placesInZones } from '../../src/demo/local-tier.js';
import { TAWE } from '../../src/deployments/tawe.js';
import { runLoad } from '../../src/load/run-load.js';

describe('crossroad load', () => {
  it('exits with the usage code on invalid arguments', async () => {
    expect(await loadCommand.run([])).toBe(ExitCode.usage);
    expect(await loadCommand.run(['--node', 'nowhere'])).toBe(ExitCode.usage);
    expect(await loadCommand.run(['--node', '127.0.0.1:1', '--route', 'no'])).toBe(ExitCode.usage);
    expect(await loadCommand.run(['--node', '127.0.0.1:1', '--rate', '-1'])).toBe(ExitCode.usage);
  });

  it('finds no violation for callers when a replica returns answers of other requests', async () => {
    const tier = await LocalTier.start({
      deployments: [TAWE],
      nodes: placesInZones([TAWE], 2),
      seed: 1,
    });
    try {
      await tier.fleet.setFaults(({ service }) => service === 'quote-builder-1', {
        wrongAnswerShare: 0.3,
        truncatedShare: 0.1,
      });
      const result = await runLoad({
        deployments: [TAWE],
        nodes: tier.callerUrls,
        replicas: tier.replicaUrls,
        routes: ['renewal', 'ledger'],
        queriesPerSecond: 40,
        durationMs: 1_500,
        settleMs: 0,
        seed: 1,
        source: 'test',
        onProgress: () => undefined,
        interrupted: new AbortController().signal,
      });
      expect(result.violations).toEqual([]);
      expect(result.kinds.map(({ route }) => route)).toEqual(['ledger', 'ledger', 'renewal']);
      expect(result.kinds.reduce((sum, { failed }) => sum + failed, 0)).toBe(0);
    } finally {
      await tier.close();
    }
  });
});
