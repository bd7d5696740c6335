/** Reads and filters HTTP headers. */
import type { Header } from '../model/request.js';

/** Hop-by-hop headers, besides those listed in `connection`. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Converts a flat list of names and values to headers. */
export const pairHeaders = (flat: readonly string[]): Header[] => {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    headers.push({ name: flat[index] ?? '', value: flat[index + 1] ?? '' });
  }
  return headers;
};

/** Returns the value of the first header with a name; `name` is in lower case. */
export const findHeader = (headers: readonly Header[], name: string): string | undefined =>
  headers.find((header) => header.name.toLowerCase() === name)?.value;

/** Returns the names listed in the `connection` header, in lower case. */
const connectionHeaderNames = (headers: readonly Header[]): ReadonlySet<string> => {
  const value = findHeader(headers, 'connection');
  return new Set((value ?? '').split(',').map((name) => name.trim().toLowerCase()));
};

/** Returns the headers to forward: neither hop-by-hop nor in `excluded`, whose names are in lower case. */
export const endToEndHeaders = (
  headers: readonly Header[],
  excluded: ReadonlySet<string>,
): Header[] => {
  const listed = connectionHeaderNames(headers);
  return headers.filter(({ name }) => {
    const lower = name.toLowerCase();
    return !CONNECTION_HEADERS.has(lower) && !listed.has(lower) && !excluded.has(lower);
  });
};

/** Returns a flat list of names and values without the headers in `removed`, whose names are in lower case. */
export const withoutHeaders = (
  flat: readonly string[],
  removed: ReadonlySet<string>,
): readonly string[] => {
  const kept: string[] = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    const [name = '', value = ''] = [flat[index], flat[index + 1]];
    if (!removed.has(name.toLowerCase())) {
      kept.push(name, value);
    }
  }
  return kept;
};

/** Converts headers to a flat list of names and values. */
export const flattenHeaders = (headers: readonly Header[]): string[] =>
  headers.flatMap(({ name, value }) => [name, value]);
