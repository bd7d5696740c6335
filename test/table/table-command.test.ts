import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { serve, type ServerType } from '@hono/node-server';
import type { AddressInfo } from 'node:net';
import { Maybe } from 'purify-ts';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { runCommandLine } from '../../src/cli/run-command-line.js';
import { KEY_VARIABLE, OPERATOR_VARIABLE } from '../../src/cli/operator/operator-flags.js';
import { step } from '../../src/core/reducer.js';
import { demoSecret } from '../../src/deployments/demo-keys.js';
import { findDeployments } from '../../src/deployments/deployments.js';
import { buildInitialObjects } from '../../src/deployments/initial-objects.js';
import { identifier, type EditId, type NodeId, type ZoneName } from '../../src/core/identifiers.js';
import { createNodeMetrics } from '../../src/metrics/node-metrics.js';
import { createOperatorApp } from '../../src/operator/create-operator-app.js';
import { rowKey } from '../../src/table/row-key.js';
import type { Sheet } from '../../src/table/sheet.js';
import { EditingWorld, sheetName } from '../editing/editing-world.js';

const REASON = ['--reason', 'season opens'];

let folder: string;
let world: EditingWorld;
let server: ServerType;
let output: { out: string; error: string };
/** Number of requests that are still answered with 503, as by a starting node. */
let startingAnswers = 0;

const startServer = async (): Promise<string> => {
  const core = world.nodes[0]?.core;
  if (core === undefined) {
    throw new Error('no node');
  }
  const app = createOperatorApp({
    state: () => core,
    submitEdit: (edit) => {
      const outcome = world.edit(0, edit);
      world.run(() => false);
      return Promise.resolve(outcome);
    },
    fetchObject: (name) => Promise.resolve(Maybe.fromNullable(world.store.read(name))),
    now: () => 1_800_000_000_000,
    monotonicNow: () => 0,
    sessionSecret: 'session-secret-of-the-tests',
    metrics: createNodeMetrics(
      () => core,
      () => 0,
    ),
    log: { info: () => undefined, warn: () => undefined },
  });
  return new Promise((resolve) => {
    const fetch = (request: Request): Response | Promise<Response> => {
      startingAnswers -= 1;
      return startingAnswers >= 0 ? new Response('{}', { status: 503 }) : app.fetch(request);
    };
    server = serve({ fetch, hostname: '127.0.0.1', port: 0 }, (info) => {
      resolve(`http://127.0.0.1:${(info as AddressInfo).port}`);
    });
  });
};

const run = async (...args: string[]): Promise<number> => {
  output.out = '';
  output.error = '';
  return runCommandLine(['table', ...args]);
};

const sheetOf = (partner: string): Sheet => {
  const content = world.store.read(sheetName(partner))?.content;
  if (content?.type !== 'sheet') {
    throw new Error('no sheet');
  }
  return content.sheet;
};

const weightOf = (name: string): number | undefined =>
  sheetOf('ensemble').rows.find(({ row }) => rowKey(row) === name)?.row.weight;

beforeEach(async () => {
  startingAnswers = 0;
  folder = mkdtempSync(join(tmpdir(), 'crossroad-table-'));
  const address = () => ({ host: '127.0.0.1', port: 9 });
  const objects = buildInitialObjects(findDeployments('both'), address);
  world = new EditingWorld({ nodes: 1, seed: 7, step, objects });
  output = { out: '', error: '' };
  vi.spyOn(process.stdout, 'write').mockImplementation((text) => {
    output.out += String(text);
    return true;
  });
  vi.spyOn(process.stderr, 'write').mockImplementation((text) => {
    output.error += String(text);
    return true;
  });
  vi.stubEnv(OPERATOR_VARIABLE, await startServer());
  vi.stubEnv(KEY_VARIABLE, demoSecret(identifier('ensemble'), 'operator'));
});

afterEach(() => {
  vi.restoreAllMocks();
  vi.unstubAllEnvs();
  server.close();
  rmSync(folder, { recursive: true });
});

describe('crossroad table', () => {
  it('exports a sheet; applying it changes nothing', async () => {
    expect(await run('export')).toBe(0);
    const file = join(folder, 'sheet.csv');
    writeFileSync(file, output.out);
    expect(output.error).toBe('sheet/ensemble version 1\n');
    expect(await run('diff', file)).toBe(0);
    expect(output.out).toBe('no difference\n');
    expect(await run('apply', file, ...REASON)).toBe(0);
    expect(sheetOf('ensemble').history).toEqual([]);
  });

  it('shows only the sheet of the requested partner and rejects an unknown one', async () => {
    expect(await run('show', '--partner', 'tawe')).toBe(0);
    expect(output.out).not.toContain('sheet/ensemble');
    expect(await run('show', '--partner', 'tawe', '--json')).toBe(0);
    const shown = JSON.parse(output.out) as { sheets: { partner: string }[] };
    expect(shown.sheets.map(({ partner }) => partner)).toEqual(['tawe']);
    expect(await run('show', '--partner', 'nobody')).toBe(2);
    expect(output.error).toContain('there is no partner nobody');
  });

  it('waits for a starting node', async () => {
    startingAnswers = 2;
    expect(await run('export')).toBe(0);
    expect(output.error).toBe('sheet/ensemble version 1\n');
  });

  it('shows what a file would change, applies it, and waits until it is in force', async () => {
    await run('export');
    const file = join(folder, 'sheet.csv');
    const lines = output.out.split('\n').filter((line) => !line.includes('payroll'));
    writeFileSync(file, lines.join('\n').replace(/,4,600,/, ',5,600,'));
    expect(await run('diff', file)).toBe(0);
    expect(output.out).toBe(
      [
        '- payroll/total (version 1 by demo-operator)',
        '~ season-roster/page (version 1 by demo-operator)',
        '    weight: 4 -> 5',
        '',
      ].join('\n'),
    );
    expect(await run('apply', file, '--wait', '--json', ...REASON)).toBe(0);
    expect(output.error).toContain('in force on all 1 live nodes');
    expect(JSON.parse(output.out)).toMatchObject({
      outcome: { type: 'accepted', version: 2 },
      inForce: { nodes: 1, missing: [] },
    });
    expect(weightOf('season-roster/page')).toBe(5);
    expect(weightOf('payroll/total')).toBeUndefined();
    expect(await run('history', '--json')).toBe(0);
    expect(JSON.parse(output.out)).toMatchObject([
      { operator: 'demo-operator', reason: 'season opens', sheetVersion: 2 },
    ]);
  });

  it('does not print control characters of a history', async () => {
    const name = sheetName('ensemble');
    const { history, ...sheet } = sheetOf('ensemble');
    const record = {
      edit: identifier<EditId>('e-1'),
      operator: 'mair',
      writtenAt: 1,
      reason: 'season\u001B[2J opens',
      rows: [],
      digest: 1,
      sheetVersion: 2,
    };
    const changed = { ...sheet, history: [...history, record] };
    world.store.write(name, 1, { type: 'sheet', sheet: changed });
    world.deliverChanges(0, 0);
    world.run(() => false);
    expect(await run('history')).toBe(0);
    expect(output.out).toContain('season·[2J opens');
    expect(output.out).not.toContain('\u001B[2J');
  });

  it('names the live nodes on which an edit is not in force', async () => {
    const members = world.nodes[0]?.core.membership.members;
    const [self] = [...(members?.values() ?? [])];
    const other = identifier<NodeId>('arada-2');
    if (self !== undefined) {
      const identity = { ...self.identity, node: other, zone: identifier<ZoneName>('arada') };
      members?.set(other, { ...self, identity, revision: 0 });
    }
    const wait = ['--wait', '--wait-seconds', '0.3'];
    expect(await run('set', 'season-roster/page', 'weight=6', ...wait, ...REASON)).toBe(1);
    expect(output.error).toMatch(/not in force on arada-2 in arada, which/);
    expect(output.error).toContain('accepted: version 2');
  });

  it('imports rows and keeps the others', async () => {
    const file = join(folder, 'rows.csv');
    const header = 'partner,route,kind,services,safeToRepeat,weight';
    writeFileSync(file, `${header}\nensemble,season-roster,next,booking-desk-*,true,2\n`);
    expect(await run('import', file, ...REASON)).toBe(0);
    expect(output.error).toContain('+ season-roster/next');
    expect(sheetOf('ensemble').rows).toHaveLength(7);
  });

  it('sets and removes a row', async () => {
    expect(await run('set', 'season-roster/page', 'weight=6', ...REASON)).toBe(0);
    expect(weightOf('season-roster/page')).toBe(6);
    expect(await run('remove', 'season-roster/page', ...REASON)).toBe(0);
    expect(weightOf('season-roster/page')).toBeUndefined();
    expect(await run('remove', 'season-roster/page', ...REASON)).toBe(1);
  });

  it('shows both values of a conflict and their operators', async () => {
    await run('set', 'season-roster/page', 'weight=6', ...REASON);
    const stale = ['--based-on', '1', ...REASON];
    expect(await run('set', 'season-roster/page', 'weight=7', ...stale)).toBe(1);
    expect(output.error).toBe(
      [
        'refused; nothing was changed',
        'conflict on row season-roster/page, which was changed since version 1',
        '  current: version 2 by demo-operator: weight=6',
        '  requested by demo-operator: weight=7',
        '',
      ].join('\n'),
    );
  });

  it('reports a conflict for a file that was exported from an older version', async () => {
    await run('export');
    const file = join(folder, 'sheet.csv');
    writeFileSync(file, output.out);
    await run('set', 'season-roster/page', 'weight=6', ...REASON);
    await run(
      'set',
      'season-roster/new',
      'safeToRepeat=true',
      'services=booking-desk-*',
      ...REASON,
    );
    expect(await run('apply', file, '--based-on', '1', ...REASON)).toBe(1);
    expect(output.error).toContain('conflict on row season-roster/page');
    expect(output.error).toContain('conflict on row season-roster/new');
    expect(weightOf('season-roster/page')).toBe(6);
  });

  it('reports all findings of a file with their places and exits 78', async () => {
    const file = join(folder, 'sheet.csv');
    const header = 'partner,route,kind,services,safeToRepeat,weight';
    writeFileSync(file, `${header}\nensemble,a,b,c,true,0\ntawe,a,b,c,maybe,1\n`);
    expect(await run('apply', file, ...REASON)).toBe(78);
    expect(output.error).toContain(`error: ${file}:2 column weight: "0" is not allowed`);
    expect(output.error).toContain(`error: ${file}:3 column safeToRepeat`);
    writeFileSync(file, `${header}\ntawe,a,b,c,true,1\n`);
    expect(await run('apply', file, ...REASON)).toBe(78);
    expect(output.error).toContain('row a/b column partner: "tawe" is another partner\'s');
    expect(await run('set', 'season-roster/page', 'weight=x', ...REASON)).toBe(78);
    expect(output.error).toContain('row season-roster/page column weight');
    expect(sheetOf('tawe').history).toEqual([]);
  });

  it('applies a proposal after the approval of the other partner', async () => {
    expect(await run('propose', 'p-1', 'ensemble=0.7', 'tawe=0.3', ...REASON)).toBe(0);
    vi.stubEnv(KEY_VARIABLE, demoSecret(identifier('tawe'), 'operator'));
    expect(await run('approve', 'p-1', ...REASON)).toBe(0);
    await run('show');
    expect(output.out).toContain('ensemble=0.7 tawe=0.3');
    expect(output.out).toContain('sheet/tawe, version 1');
    expect(await run('approve', 'p-1', ...REASON)).toBe(1);
  });

  it('replaces the keys; the old key is then refused', async () => {
    const file = join(folder, 'keys.json');
    const record = { name: 'mair', role: 'operator', sha256: 'ab'.repeat(32) };
    writeFileSync(file, JSON.stringify([record]));
    expect(await run('keys', file, ...REASON)).toBe(0);
    expect(await run('show')).toBe(1);
    expect(output.error).toContain('No key in force has this secret');
  });

  it.each([
    [['drop']],
    [['apply']],
    [['apply', 'a.csv']],
    [['set', 'roster/page', ...REASON]],
    [['set', 'roster', 'weight=1', ...REASON]],
    [['set', 'roster/page', 'colour=red', ...REASON]],
    [['propose', 'p', 'ensemble', ...REASON]],
    [['show', '--colour']],
    [['apply', 'a.csv', '--based-on', 'x', ...REASON]],
  ])('exits 2 on wrong usage: %j', async (args) => {
    expect(await run(...args)).toBe(2);
    expect(output.error).toMatch(/^crossroad table: /);
  });

  it('reports a missing key, and reads the key from --key-file', async () => {
    vi.stubEnv(KEY_VARIABLE, '');
    expect(await run('show')).toBe(2);
    expect(output.error).toContain('--key-file');
    const file = join(folder, 'key');
    writeFileSync(file, `${demoSecret(identifier('tawe'), 'operator')}\n`);
    expect(await run('show', '--key-file', file)).toBe(0);
    expect(readFileSync(file, 'utf8')).toContain('demo');
  });
});
