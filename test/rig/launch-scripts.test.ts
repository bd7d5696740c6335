import { readdirSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';

const SOURCES = fileURLToPath(new URL('../../src/', import.meta.url));

const sourcesThat = (contain: RegExp): string[] =>
  readdirSync(SOURCES, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts'))
    .filter((file) => contain.test(readFileSync(`${SOURCES}${file}`, 'utf8')))
    .sort();

describe('processes', () => {
  it('are started in one module of the launch scripts and by the benchmark, which exchanges messages with them', () => {
    expect(sourcesThat(/node:child_process|node:cluster/)).toEqual([
      'bench/leg-cost/bench-process.ts',
      'rig/child-process.ts',
    ]);
  });

  it('are started by no subcommand: only launch scripts and the benchmark import those modules', () => {
    const importers = sourcesThat(/from '[./]+(?:rig|bench)\//);
    expect(importers.filter((file) => !/^(?:rig|bench)\//.test(file))).toEqual([]);
  });
});
