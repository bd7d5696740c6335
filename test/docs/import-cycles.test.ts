import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize, relative } from 'node:path';
import { describe, expect, it } from 'vitest';

const ROOTS = ['src', 'platform'];

/** Circles that are left from earlier; none may be added and none may grow. */
const KNOWN_CIRCLES: readonly (readonly [folder: string, files: number])[] = [
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

/** Files that import each other over any number of steps, each circle once. */
const findCircles = (graph: Graph): readonly (readonly string[])[] => {
  const reach = new Map([...graph.keys()].map((file) => [file, reachableFrom(graph, file)]));
  const seen = new Set<string>();
  const circles: string[][] = [];
  for (const [file, reached] of reach) {
    if (seen.has(file) || !reached.has(file)) {
      continue;
    }
    const circle = [...reached].filter((other) => reach.get(other)?.has(file));
    circle.forEach((member) => seen.add(member));
    circles.push(circle.sort());
  }
  return circles;
};

const isKnown = (circle: readonly string[]): boolean =>
  KNOWN_CIRCLES.some(
    ([folder, files]) =>
      circle.length <= files && circle.every((file) => !relative(folder, file).startsWith('..')),
  );

describe('imports', () => {
  it('form no circles but those that are known, which do not grow', () => {
    const circles = findCircles(readGraph());
    expect(circles.filter((circle) => !isKnown(circle))).toEqual([]);
    expect(circles.length).toBeLessThanOrEqual(KNOWN_CIRCLES.length);
  }, 20_000);

  it('of a circle are found', () => {
    const graph = new Map([
      ['a', ['b']],
      ['b', ['c']],
      ['c', ['a', 'd']],
      ['d', []],
    ]);
    expect(findCircles(graph)).toEqual([['a', 'b', 'c']]);
  });
});
