/** Reads the target of a request: its host, its path, and the headers that go with them. */
import type { Header } from '../model/request.js';

/** Scheme, authority, and the rest of a target in absolute form (RFC 9112, section 3.2.2). */
const ABSOLUTE_FORM = /^https?:\/\/([^/?#]*)(.*)$/i;

/** The target of a request. */
export interface RequestTarget {
  /** Empty if the request names none. */
  readonly host: string;
  /** Path and query, in origin form. */
  readonly path: string;
  readonly headers: readonly Header[];
}

const replaceHost = (headers: readonly Header[], host: string): readonly Header[] => [
  { name: 'host', value: host },
  ...headers.filter(({ name }) => name.toLowerCase() !== 'host'),
];

/**
 * Reads a target in origin or absolute form. Every server must accept the absolute form, whose host takes precedence
 * over the `host` header. Used as a path, it would match no route.
 */
export const readTarget = (
  target: string,
  host: string,
  headers: readonly Header[],
): RequestTarget => {
  const absolute = ABSOLUTE_FORM.exec(target);
  if (absolute === null) {
    return { host, path: target, headers };
  }
  const [, authority = '', rest = ''] = absolute;
  const path = rest.startsWith('/') ? rest : `/${rest}`;
  return { host: authority, path, headers: replaceHost(headers, authority) };
};
