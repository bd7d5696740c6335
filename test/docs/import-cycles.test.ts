import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize, relative } from 'node:path';
import { describe, expect, it } from 'vitest';

const ROOTS = ['src', 'platform'];

/** Existing cycles, each with its folder and its number of files; none may be added or grow. */
const KNOWN_CYCLES: readonly (readonly [folder: string, files: number])[] = [
  ['src/core/replica', 3],
  ['src/simulation', 4],
  ['src/core/admission', 8],
  ['src/core', 14],
];

const IMPORT_PATTERN = /(?:import|export)[^;'"]*?from\s+'(\.[^']+)'/g;

type Graph = ReadonlyMap<string, readonly string[]>;

const listSources = (folder: string): string[] =>
  readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) {
      return listSources(path);
    }
    return entry.name.endsWith('.ts') ? [path] : [];
  });

const readGraph = (): Graph => {
  const files = ROOTS.flatMap(listSources);
  const known = new Set(files);
  const importsOf = (file: string): string[] =>
    [...readFileSync(file, 'utf8').matchAll(IMPORT_PATTERN)]
      .map(([, path = '']) => normalize(join(dirname(file), path.replace(/\.js$/, '.ts'))))
      .filter((path) => known.has(path));
  return new Map(files.map((file) => [file, importsOf(file)]));
};

const reachableFrom = (graph: Graph, start: string): ReadonlySet<string> => {
  const reached = new Set<string>();
  const open = [...(graph.get(start) ?? [])];
  for (let file = open.pop(); file !== undefined; file = open.pop()) {
    if (!reached.has(file)) {
      reached.add(file);
      open.push(...(graph.get(file) ?? []));
    }
  }
  return reached;
};

/** Finds the groups of files that import each other directly or indirectly, each once. */
const findCycles = (graph: Graph): readonly (readonly string[])[] => {
  const reach = new Map([...graph.keys()].map((file) => [file, reachableFrom(graph, file)]));
  const seen = new Set<string>();
  const cycles: string[][] = [];
  for (const [file, reached] of reach) {
    if (seen.has(file) || !reached.has(file)) {
      continue;
    }
    const cycle = [...reached].filter((other) => reach.get(other)?.has(file));
    cycle.forEach((member) => seen.add(member));
    cycles.push(cycle.sort());
  }
  return cycles;
};

const isKnown = (cycle: readonly string[]): boolean =>
  KNOWN_CYCLES.some(
    ([folder, files]) =>
      cycle.length <= files && cycle.every((file) => !relative(folder, file).startsWith('..')),
  );

describe('imports', () => {
  it('form no cycles except the known ones, which do not grow', () => {
    const cycles = findCycles(readGraph());
    expect(cycles.filter((cycle) => !isKnown(cycle))).toEqual([]);
    expect(cycles.length).toBeLessThanOrEqual(KNOWN_CYCLES.length);
  }, 20_000);

  it('that form a cycle are detected', () => {
    const graph = new Map([
      ['a', ['b']],
      ['b', ['c']],
      ['c', ['a', 'd']],
      ['d', []],
    ]);
    expect(findCycles(graph)).toEqual([['a', 'b', 'c']]);
  });
});
