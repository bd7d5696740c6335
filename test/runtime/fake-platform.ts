/** A platform for tests of the driver. It serves given objects and sends a watch line per change. */
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { StoreContent, StoreObject } from '../../src/catalog/store-object.js';
import { objectNameOf } from '../../src/deployments/initial-objects.js';

/** A running fake platform. */
export interface FakePlatform {
  readonly url: string;
  /** Paths of all requests so far. */
  readonly requests: string[];
  /** Called first for each request; returns true if it has answered the request. */
  override: ((path: string, response: ServerResponse) => boolean) | undefined;
  put(content: StoreContent): void;
  /** Closes all connections, including watches. */
  cut(): void;
  close(): void;
}

/** Starts a fake platform that holds `contents`. */
export const startFakePlatform = async (
  contents: readonly StoreContent[],
): Promise<FakePlatform> => {
  const objects = new Map<string, StoreObject>();
  const watches = new Set<ServerResponse>();
  const requests: string[] = [];
  let revision = 0;

  const put = (content: StoreContent): void => {
    const name = objectNameOf(content);
    const version = (objects.get(name)?.version ?? 0) + 1;
    const after = revision;
    revision += 1;
    const object = { name, version, revision, content };
    objects.set(name, object);
    const line = JSON.stringify({ after, through: revision, objects: [object] });
    watches.forEach((watch) => watch.write(`${line}\n`));
  };
  contents.forEach(put);

  const objectsAfter = (after: number): StoreObject[] =>
    [...objects.values()].filter((object) => object.revision > after);

  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://127.0.0.1');
    const after = Number(url.searchParams.get('after') ?? 0);
    requests.push(`${request.method ?? ''} ${url.pathname}`);
    if (platform.override?.(url.pathname, response) === true) {
      return;
    }
    if (url.pathname === '/v1/objects') {
      response.end(JSON.stringify({ revision, objects: objectsAfter(after) }));
    } else if (url.pathname === '/v1/watch') {
      response.write(
        `${JSON.stringify({ after, through: revision, objects: objectsAfter(after) })}\n`,
      );
      watches.add(response);
      response.once('close', () => watches.delete(response));
    } else if (url.pathname === '/v1/machines') {
      response.end(JSON.stringify({ machines: [] }));
    } else {
      response.writeHead(404).end();
    }
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const platform: FakePlatform = {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests,
    override: undefined,
    put,
    cut: () => server.closeAllConnections(),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
  return platform;
};
