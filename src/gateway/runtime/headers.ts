/** Reads and filters headers as they stand on the wire. */
import type { Header } from '../model/request.js';

/** Headers that concern one connection only, besides those that `connection` names. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Pairs up a flat list of names and values. */
export const pairHeaders = (flat: readonly string[]): Header[] => {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    headers.push({ name: flat[index] ?? '', value: flat[index + 1] ?? '' });
  }
  return headers;
};

/** The value of the first header of a name; `name` is in lower case. */
export const findHeader = (headers: readonly Header[], name: string): string | undefined =>
  headers.find((header) => header.name.toLowerCase() === name)?.value;

/** Names that a `connection` header lists, in lower case. */
const connectionHeaderNames = (headers: readonly Header[]): ReadonlySet<string> => {
  const value = findHeader(headers, 'connection');
  return new Set((value ?? '').split(',').map((name) => name.trim().toLowerCase()));
};

/** Headers that are passed on to the other side; those in `without` are left out too. */
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

/** Flattens headers into a list of names and values. */
export const flattenHeaders = (headers: readonly Header[]): string[] =>
  headers.flatMap(({ name, value }) => [name, value]);
