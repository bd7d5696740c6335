import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

const listPages = (): string[] => [
  'README.md',
  ...readdirSync(join(ROOT, 'docs'), { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.md'))
    .map((file) => join('docs', file)),
];

/** Lists the link targets of a page, relative to the root, without URLs that have a scheme. */
const listLinks = (page: string, text: string): string[] =>
  [...text.matchAll(/\]\(([^)\s]+)(?:\s+"[^"]*")?\)|^\[[^\]]+\]:\s+(\S+)/gm)]
    .map(([, inline, reference]) => inline ?? reference ?? '')
    .filter((target) => !/^[a-z][a-z+.-]*:/i.test(target))
    .map((target) => target.replace(/#.*$/, ''))
    .filter((target) => target !== '')
    .map((target) => join(dirname(page), target));

/** Lists the paths in backticks, relative to the root; text after a space is an argument. */
const listNamedPaths = (text: string): string[] =>
  [...text.matchAll(/`((?:src|docs|spec|scenarios)\/[^`\s]*)[^`]*`/g)].map(
    ([, path]) => path ?? '',
  );

/** Finds the links and paths of a page that do not exist. */
const findBroken = (page: string, text: string): string[] =>
  [...listLinks(page, text), ...listNamedPaths(text)].filter(
    (path) => !existsSync(join(ROOT, path)),
  );

describe('links in the documentation', () => {
  it.each(listPages())('have existing targets: %s', (page) => {
    expect(findBroken(page, readFileSync(join(ROOT, page), 'utf8'))).toEqual([]);
  });

  it('are reported when their targets do not exist', () => {
    const text = [
      'See [one](no-page.md#part), [two](../README.md "Start"), [three](https://example.org/x).',
      '`src/no-file.ts` and `src/main.ts`, `scenarios/no-scenario.json --seeds 3`.',
      '[four]: ./no-reference.md',
    ].join('\n');
    expect(findBroken('docs/PAGE.md', text)).toEqual([
      'docs/no-page.md',
      'docs/no-reference.md',
      'src/no-file.ts',
      'scenarios/no-scenario.json',
    ]);
  });
});
