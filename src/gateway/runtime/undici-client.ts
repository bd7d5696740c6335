/**
 * The only class of undici that a gateway needs. The package's entry point also loads fetch, caches and more, which
 * takes 230 ms of processor time and 19 MB at each start. This module alone took 85 ms and 10 MB before it was bundled
 * (Node.js 20.20, undici 7.30). The lock file pins the version.
 */
import type { Client as UndiciClient } from 'undici';
// @ts-expect-error: the package declares types for its entry point only
import client from 'undici/lib/dispatcher/client.js';

/** An HTTP/1.1 client over one connection at a time. */
export const Client = client as typeof UndiciClient;

/** An instance of {@link Client}. */
export type Client = UndiciClient;
