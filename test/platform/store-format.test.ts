import { describe, expect, it } from 'vitest';
import { platformStore } from '../../platform/store-format.js';
import { replicaSpec } from './odd-objects.js';

const LIST = { type: 'list', collection: 'replicas', stale: false, timeoutMs: 1_000 } as const;

const itemOf = (name: string, spec: unknown = replicaSpec({})): unknown => ({
  meta: { name, revision: 3, deleting: false },
  spec,
});

const pageOf = (items: readonly unknown[], more: boolean): string =>
  JSON.stringify({ items, more, at: 7 });

describe('a page of a list', () => {
  // The next call requested the same page again, at once and without end.
  it('is malformed if more objects follow, but none is after those of the page before', () => {
    expect(platformStore.readPage(LIST, pageOf([], true)).isLeft()).toBe(true);
    const next = { ...LIST, after: 'a' };
    expect(platformStore.readPage(next, pageOf([itemOf('a')], true)).isLeft()).toBe(true);
    expect(platformStore.readPage(next, pageOf([itemOf('a')], false)).isRight()).toBe(true);
    expect(platformStore.readPage(next, pageOf([itemOf('b')], true)).isRight()).toBe(true);
  });
});
