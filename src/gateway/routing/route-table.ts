/** Finds the route of a request by host and longest path prefix, and the route of a subquery by name. */
import type { Route } from '../model/route.js';

/** The routes of one configuration version, indexed by host and path prefix, and by name. */
export class RouteTable {
  private readonly byHost = new Map<string, Map<string, Route>>();
  private readonly byName = new Map<string, Route>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      this.byName.set(route.name, route);
      const host = route.host.toLowerCase();
      const prefixes = this.byHost.get(host) ?? new Map<string, Route>();
      this.byHost.set(host, prefixes);
      prefixes.set(route.pathPrefix, route);
    }
  }

  /** Returns the route of this name; undefined if there is none. */
  named(name: string): Route | undefined {
    return this.byName.get(name);
  }

  /** Returns the route of `host` with the longest prefix of `path`; undefined if none matches. */
  find(host: string, path: string): Route | undefined {
    const prefixes = this.byHost.get(hostWithoutPort(host));
    if (prefixes === undefined) {
      return undefined;
    }
    const pathname = withoutQuery(path);
    for (
      let end = pathname.lastIndexOf('/');
      end >= 0;
      end = end === 0 ? -1 : pathname.lastIndexOf('/', end - 1)
    ) {
      const route = prefixes.get(pathname.slice(0, end + 1));
      if (route !== undefined) {
        return route;
      }
    }
    return undefined;
  }
}

const hostWithoutPort = (host: string): string => {
  const lower = host.toLowerCase();
  const colon = lower.lastIndexOf(':');
  return colon > lower.lastIndexOf(']') ? lower.slice(0, colon) : lower;
};

const withoutQuery = (path: string): string => {
  const query = path.indexOf('?');
  return query < 0 ? path : path.slice(0, query);
};
