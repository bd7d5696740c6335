import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { JsonList, parseJsonLists } from '../../src/protocol/codec/json-lists.js';

const SEED = 4_711;

/** Fits each of the items below, but not hundreds of them. */
const SOME_BYTES = 100_000;

const fieldsOf = (text: string, maxBytes: number): Record<string, unknown> => {
  const fields = parseJsonLists(text, maxBytes) as Record<string, unknown>;
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      value instanceof JsonList ? [...value] : value,
    ]),
  );
};

const itemOf = (name: string, spec: string): string => `{"meta":{"name":"${name}"},"spec":${spec}}`;

describe('an object with lists that is parsed in parts', () => {
  it('has the same values as if it were parsed as a whole', () => {
    const items = fc.array(fc.jsonValue(), { minLength: 1, maxLength: 20 });
    const spaces = fc.constantFrom(undefined, 1, '\r\n\t');
    fc.assert(
      fc.property(
        items,
        fc.string(),
        fc.double({ noNaN: true }),
        spaces,
        (list, text, at, space) => {
          const more = Array.from({ length: 800 }, () => ({ text }));
          const encoded = JSON.stringify({ items: [...list, ...more], text, at }, null, space);
          expect(parseJsonLists(encoded, SOME_BYTES)).toHaveProperty('items', expect.any(JsonList));
          expect(fieldsOf(encoded, SOME_BYTES)).toEqual(JSON.parse(encoded));
        },
      ),
      { seed: SEED, numRuns: 60 },
    );
  });

  // The values of one object filled the heap, or ended the decoding of all others.
  it('lacks only what takes too much memory', () => {
    const deep = `${'['.repeat(50_000)}${']'.repeat(50_000)}`;
    const items = [itemOf('a', '{"x":"]}"}'), itemOf('b', deep), itemOf('c', '{"x":"\\\\"}')];
    const text = `{"items":[${items.join(' , ')}],"more":false,"at":3}`;
    expect(fieldsOf(text, SOME_BYTES)).toEqual({
      items: [
        { meta: { name: 'a' }, spec: { x: ']}' } },
        { meta: { name: 'b' }, spec: undefined },
        { meta: { name: 'c' }, spec: { x: '\\' } },
      ],
      more: false,
      at: 3,
    });
  });

  it('is not an object or has an undefined item if its text is malformed', () => {
    const text = JSON.stringify({ items: [{ name: 'a' }, [1, 'b', null]], more: true, at: 3 });
    fc.assert(
      fc.property(
        fc.nat(text.length - 1),
        fc.constantFrom('', '"', '[', '}', ',', 'x'),
        (at, odd) => {
          const spoilt = `${text.slice(0, at)}${odd}${text.slice(at + 1)}`;
          const parsed = parseJsonLists(spoilt, 0);
          if (parsed !== undefined) {
            fieldsOf(spoilt, 0);
          }
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
    expect(parseJsonLists(text.slice(0, -1), 0)).toBeUndefined();
    expect(parseJsonLists(`${text}]`, 0)).toBeUndefined();
    expect(fieldsOf('{"items":[1 2]}', 8)).toEqual({ items: [undefined] });
  });
});
