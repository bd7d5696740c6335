import type { AddressInfo } from 'node:net';
import { serve, type ServerType } from '@hono/node-server';
import { Left, Right } from 'purify-ts';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { KEY_VARIABLE, OPERATOR_VARIABLE } from '../../src/cli/operator/operator-flags.js';
import { runCommandLine } from '../../src/cli/run-command-line.js';
import { formatStatus } from '../../src/cli/status/format-status.js';
import { watchStatus } from '../../src/cli/status/watch-status.js';
import { getLimitUse } from '../../src/core/admission/limit-use.js';
import { identifier, type NodeId, type ZoneName } from '../../src/core/identifiers.js';
import { getReplicaObservation, replicaKey } from '../../src/core/query/observations.js';
import { createServiceObservation } from '../../src/core/query/replica-observation.js';
import { createMember } from '../../src/core/membership/state.js';
import { demoSecret } from '../../src/deployments/demo-keys.js';
import { createOperatorApp } from '../../src/operator/create-operator-app.js';
import { readStatus } from '../../src/operator/read-status.js';
import { createRow } from '../table/rows.js';
import {
  createOperatorFixture,
  ENSEMBLE,
  putContents,
  sheetOf,
  twoPartners,
  type OperatorFixture,
} from './operator-fixture.js';

const addMember = (fixture: OperatorFixture, name: string, revision: number): void => {
  const identity = {
    node: identifier<NodeId>(name),
    zone: identifier<ZoneName>('arada'),
    region: 'addis',
    address: { host: '127.0.0.1', port: 7_001 },
    incarnation: 5,
  };
  const member = createMember(identity, 'alive', 0);
  member.revision = revision;
  fixture.state.membership.members.set(identity.node, member);
};

const createFilled = (): OperatorFixture => {
  const fixture = createOperatorFixture();
  putContents(fixture, [
    ...twoPartners(),
    sheetOf(ENSEMBLE, [createRow({ route: 'roster', kind: 'page', concurrentLimit: 40 })]),
    {
      type: 'status',
      status: {
        partner: ENSEMBLE,
        service: identifier('booking-desk-1'),
        replicas: [
          {
            replica: identifier('booking-desk-1-r1'),
            zone: identifier('bole'),
            host: '127.0.0.1',
            port: 9_001,
            slots: 5,
            connections: 70,
            lifecycle: 'warming',
            snapshots: [1, 2],
          },
        ],
      },
    },
  ]);
  addMember(fixture, 'arada-1', 3);
  addMember(fixture, 'arada-2', 0);
  const use = getLimitUse(fixture.state, { row: 'ensemble/roster/page', bound: 'concurrent' }, 0);
  use.held = {
    amount: 12,
    sequence: 1,
    expiresAt: 2_000,
    validMs: 2_000,
    holder: { node: identifier('arada-1'), level: 'row' },
  };
  use.used = 7;
  return fixture;
};

describe('readStatus', () => {
  it('contains the revisions of other members, null for members without a report', () => {
    const { state } = createFilled();
    const nodes = readStatus(state, 1_000).nodes;
    expect(nodes.map(({ node, revision, incarnation }) => [node, revision, incarnation])).toEqual([
      ['arada-1', 3, 5],
      ['arada-2', null, 5],
      ['bole/node-1', state.configuration.revision, 1],
    ]);
  });

  it('contains the granted and used amount of limits, and 0 granted after the grant expires', () => {
    const { state } = createFilled();
    const limit = { route: 'roster', limit: 'concurrent', total: 40, inUse: 7 };
    expect(readStatus(state, 1_000).limits).toMatchObject([{ ...limit, granted: 12 }]);
    expect(readStatus(state, 2_000).limits).toMatchObject([{ ...limit, granted: 0 }]);
  });

  it('contains how this node treats each replica', () => {
    const { state } = createFilled();
    const replica = identifier<never>('booking-desk-1-r1');
    const seen = (at: number) => readStatus(state, at).replicas[0]?.seen;
    expect(seen(1_000)).toBe('used');
    const service = createServiceObservation();
    const key = replicaKey(ENSEMBLE, '127.0.0.1:9001');
    const observed = getReplicaObservation(state.query.observations, key, service, 0);
    observed.backOffUntil = 1_500;
    expect([seen(1_000), seen(1_500)]).toEqual(['shedding', 'used']);
    observed.ejected = true;
    expect(seen(1_000)).toBe('ejected');
    state.membership.leavingReplicas.set(replica, { until: 2_000, sent: 0 });
    expect([seen(1_000), seen(2_000)]).toEqual(['leaving', 'ejected']);
  });
});

describe('formatStatus', () => {
  it('lists members, objects, limits and services', () => {
    const text = formatStatus(readStatus(createFilled().state, 1_000), false);
    expect(text).toMatch(/arada-2 .*not reported yet/);
    expect(text).toMatch(/sheet\/ensemble/);
    expect(text).toMatch(/ensemble\/roster\/page.*40.*12\.0.*7\.0/);
    expect(text).toMatch(/ensemble\/booking-desk-1 /);
  });

  it('summarizes a large tier and lists only the nodes that are not alive or are behind', () => {
    const fixture = createFilled();
    const { revision } = fixture.state.configuration;
    Array.from({ length: 2_000 }, (_, index) =>
      addMember(fixture, `many-${String(index)}`, revision),
    );
    const status = readStatus(fixture.state, 1_000);
    const text = formatStatus(status, false);
    expect(text).toContain('arada-1');
    expect(text).not.toContain('many-7');
    expect(text).toContain('2001 more nodes are not listed');
    expect(formatStatus(status, true)).toContain('many-1999');
  });
});

describe('watchStatus', () => {
  const problem = { problem: 'no answer', findings: [], isRetryable: true };
  const status = readStatus(createFilled().state, 1_000);

  const watch = async (answers: readonly boolean[], signal = new AbortController().signal) => {
    const printed: string[] = [];
    let asked = 0;
    const code = await watchStatus({
      times: answers.length,
      intervalMs: 0,
      signal,
      requestStatus: () =>
        Promise.resolve(answers[asked++] === true ? Right(status) : Left(problem)),
      print: ({ node }) => printed.push(node),
      printProblem: (told) => printed.push(told.problem),
    });
    return { code, printed };
  };

  it('requests the status the given number of times, and continues after a failure', async () => {
    expect(await watch([true, false, true])).toEqual({
      code: 0,
      printed: ['bole/node-1', 'no answer', 'bole/node-1'],
    });
    expect((await watch([true, false])).code).toBe(1);
  });

  it('returns without an error when interrupted', async () => {
    const controller = new AbortController();
    controller.abort();
    expect(await watch([false, false], controller.signal)).toEqual({ code: 0, printed: [] });
  });
});

describe('crossroad status', () => {
  let server: ServerType;
  let output: string;
  let fixture: OperatorFixture;

  beforeEach(async () => {
    fixture = createFilled();
    const app = createOperatorApp(fixture.context);
    output = '';
    vi.spyOn(process.stdout, 'write').mockImplementation((text) => {
      output += String(text);
      return true;
    });
    vi.spyOn(process.stderr, 'write').mockImplementation(() => true);
    const port = await new Promise<number>((resolve) => {
      server = serve({ fetch: app.fetch, hostname: '127.0.0.1', port: 0 }, (info) => {
        resolve((info as AddressInfo).port);
      });
    });
    process.env[OPERATOR_VARIABLE] = `http://127.0.0.1:${String(port)}`;
    process.env[KEY_VARIABLE] = demoSecret(ENSEMBLE, 'operator');
  });

  afterEach(async () => {
    vi.restoreAllMocks();
    Reflect.deleteProperty(process.env, OPERATOR_VARIABLE);
    Reflect.deleteProperty(process.env, KEY_VARIABLE);
    await new Promise((resolve) => server.close(resolve));
  });

  it('prints text, or one JSON object per request', async () => {
    expect(await runCommandLine(['status'])).toBe(0);
    expect(output).toContain(`node bole/node-1 in zone bole: ${fixture.state.phase}`);
    output = '';
    const watch = ['status', '--json', '--watch', '--times', '2', '--interval', '0.1'];
    expect(await runCommandLine(watch)).toBe(0);
    const lines = output.trim().split('\n');
    expect(lines.map((line) => (JSON.parse(line) as { node: string }).node)).toEqual([
      'bole/node-1',
      'bole/node-1',
    ]);
  });

  it('fails with a wrong key and on usage errors', async () => {
    process.env[KEY_VARIABLE] = 'guess';
    expect(await runCommandLine(['status'])).toBe(1);
    expect(await runCommandLine(['status', '--times', '0'])).toBe(2);
    expect(await runCommandLine(['status', '--wide'])).toBe(2);
  });
});

describe('crossroad key', () => {
  it('prints a secret and its record, and refuses invalid arguments', async () => {
    let output = '';
    vi.spyOn(process.stdout, 'write').mockImplementation((text) => {
      output += String(text);
      return true;
    });
    vi.spyOn(process.stderr, 'write').mockImplementation(() => true);
    const good = ['key', 'new', '--name', 'almaz', '--role', 'operator', '--json'];
    expect(await runCommandLine(good)).toBe(0);
    const key = JSON.parse(output) as { secret: string; record: { sha256: string } };
    expect(key.record).toMatchObject({ name: 'almaz', role: 'operator' });
    expect(key.record.sha256).toMatch(/^[0-9a-f]{64}$/);
    expect(key.record.sha256).not.toContain(key.secret);
    expect(await runCommandLine(['key', 'new', '--name', 'a b', '--role', 'operator'])).toBe(2);
    expect(await runCommandLine(['key', 'new', '--name', 'almaz', '--role', 'king'])).toBe(2);
    expect(await runCommandLine(['key', 'list'])).toBe(2);
    vi.restoreAllMocks();
  });
});
