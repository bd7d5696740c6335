/** Detection of forms that were sent by another site. */
import type { Context } from 'hono';

const hostOf = (origin: string): string | undefined => {
  try {
    return new URL(origin).host;
  } catch {
    return undefined;
  }
};

/**
 * Whether the headers state that the request was sent by a page of this host. Browsers send
 * `Sec-Fetch-Site` or `Origin` with every form; without both, the result is false. The scheme is
 * not compared, as TLS may be terminated in front of the node.
 */
export const isSameOrigin = (call: Context): boolean => {
  const site = call.req.header('sec-fetch-site');
  if (site !== undefined && site !== 'same-origin') {
    return false;
  }
  const origin = call.req.header('origin');
  if (origin === undefined) {
    return site === 'same-origin';
  }
  return hostOf(origin) === (call.req.header('host') ?? hostOf(call.req.url));
};
