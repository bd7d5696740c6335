import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { runCommandLine } from '../../src/cli/run-command-line.js';
import { findDeployments } from '../../src/deployments/deployments.js';
import { formatSheetCsv } from '../../src/table/sheet-csv.js';

const example = (name: string): string =>
  new URL(`../../examples/${name}`, import.meta.url).pathname;

let folder: string;
let out: string;
let errors: string;

const run = (...args: string[]): Promise<number> => {
  out = '';
  errors = '';
  return runCommandLine(['check', ...args]);
};

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'crossroad-check-'));
  vi.spyOn(process.stdout, 'write').mockImplementation((text) => {
    out += String(text);
    return true;
  });
  vi.spyOn(process.stderr, 'write').mockImplementation((text) => {
    errors += String(text);
    return true;
  });
});

afterEach(() => {
  vi.restoreAllMocks();
  rmSync(folder, { recursive: true });
});

describe('crossroad check', () => {
  it('reports no findings for the examples', async () => {
    const files = ['node.yaml', 'ensemble.csv', 'tawe.csv'].map(example);
    expect(await run('--strict', ...files)).toBe(0);
    expect(errors).toBe('');
  });

  it('reports the findings of all files together and exits 78', async () => {
    const settings = join(folder, 'node.yaml');
    const sheet = join(folder, 'sheet.csv');
    writeFileSync(settings, 'node: a\nzone: b\nregion: c\ncaller: nowhere\n');
    writeFileSync(sheet, 'partner,route,kind,services,safeToRepeat\ntawe,a,b,c,maybe\n');
    expect(await run(settings, sheet, join(folder, 'absent.csv'))).toBe(78);
    expect(errors).toContain(`error: ${settings}:4`);
    expect(errors).toContain(`error: ${sheet}:2 column safeToRepeat`);
    expect(errors).toContain('absent.csv');
    expect(await run('--json', sheet)).toBe(78);
    expect(JSON.parse(out)).toMatchObject([{ place: `${sheet}:2 column safeToRepeat` }]);
  });

  it("refuses another partner's rows, and warnings with --strict", async () => {
    expect(await run('--partner', 'tawe', example('ensemble.csv'))).toBe(78);
    expect(errors).toContain('column partner');
    const sheet = join(folder, 'sheet.csv');
    writeFileSync(sheet, 'partner,route,kind,services,safeToRepeat,weight\ntawe,a,b,c,true,2\n');
    expect(await run(sheet)).toBe(0);
    expect(errors).toContain('warning: ');
    expect(await run('--strict', sheet)).toBe(78);
  });

  it.each([[[]], [['notes.txt']], [['--colour']]])('exits 2 on wrong usage: %j', async (args) => {
    expect(await run(...args)).toBe(2);
  });
});

describe('the example sheets', () => {
  it.each(['ensemble', 'tawe'] as const)('%s.csv equals the export of its deployment', (name) => {
    const rows = findDeployments(name).flatMap((deployment) => deployment.rows);
    expect(readFileSync(example(`${name}.csv`), 'utf8')).toBe(formatSheetCsv(rows));
  });
});
