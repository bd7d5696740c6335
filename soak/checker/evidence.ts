/** Indexed observations for the checks: arrivals by request, and periods without disturbances. */
import type {
  Arrival,
  CallerRequest,
  Observations,
  Scope,
  Version,
  VersionRoute,
} from '../model/observations.js';
import type { SoakBounds } from '../model/plan.js';
import type { PromiseName } from './violation.js';

/** Parameters of a run that the checks need in addition to its observations. */
export interface CheckedRun {
  readonly bounds: SoakBounds;
  readonly gateways: number;
  /** Whether other gateways than the one that received a gather may send its subqueries to replicas. */
  readonly usesFeeders: boolean;
}

const isGateway = (scope: Scope, gateway: number): boolean =>
  scope.type === 'gateway' && scope.gateway === gateway;

/** Returns the route of a version for a path: the one with the longest matching prefix. */
export const findRoute = ({ routes }: Version, path: string): VersionRoute | undefined =>
  routes
    .filter(({ pathPrefix }) => path.startsWith(pathPrefix))
    .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)[0];

/** Observations of a run with lookups for the checks. */
export class Evidence {
  readonly requests: ReadonlyMap<string, CallerRequest>;
  /** Number of cases checked for each promise; with none, the run says nothing about the promise. */
  readonly caseCounts = new Map<PromiseName, number>();
  private readonly arrivals = new Map<string, Arrival[]>();

  constructor(
    readonly observations: Observations,
    readonly run: CheckedRun,
  ) {
    this.requests = new Map(observations.requests.map((request) => [request.id, request]));
    for (const arrival of observations.arrivals) {
      const known = this.arrivals.get(arrival.requestId);
      if (known === undefined) {
        this.arrivals.set(arrival.requestId, [arrival]);
      } else {
        known.push(arrival);
      }
    }
  }

  /** Adds to the number of cases checked for a promise. */
  recordCases(promise: PromiseName, cases: number): void {
    this.caseCounts.set(promise, (this.caseCounts.get(promise) ?? 0) + cases);
  }

  /** Returns the arrivals of a request, in order of time. */
  arrivalsOf(id: string): readonly Arrival[] {
    return this.arrivals.get(id) ?? [];
  }

  /** Returns the arrivals at which a replica ran the request. */
  runsOf(id: string): readonly Arrival[] {
    return this.arrivalsOf(id).filter(({ ran }) => ran);
  }

  /** Whether there was no disturbance selected by `concerns` between `from` and `to`. */
  isUndisturbed(
    concerns: (scope: Scope, planned: boolean) => boolean,
    from: number,
    to: number,
  ): boolean {
    return !this.observations.disturbances.some(
      (each) =>
        each.from <= to &&
        each.to >= from &&
        (each.scope.type === 'everything' || concerns(each.scope, each.planned)),
    );
  }

  /** Whether neither the store nor any of the gateways was disturbed from `contactMs` before `from` until `to`. */
  isInContact(gateways: readonly number[], from: number, to: number): boolean {
    const concerns = (scope: Scope): boolean =>
      scope.type === 'store' || gateways.some((gateway) => isGateway(scope, gateway));
    return this.isUndisturbed(concerns, from - this.run.bounds.contactMs, to);
  }

  /** Returns the gateways that may have handled a request. */
  gatewaysOf(request: CallerRequest): readonly number[] {
    if (!this.run.usesFeeders || !this.isGather(request)) {
      return [request.gateway];
    }
    return Array.from({ length: this.run.gateways }, (_, index) => index);
  }

  /** Whether all gateways that may have handled a request were in contact. */
  isRequestInContact(request: CallerRequest, from: number, to: number): boolean {
    return this.isInContact(this.gatewaysOf(request), from, to);
  }

  /** Whether any version has a gather for the path. */
  isGather({ path }: CallerRequest): boolean {
    return this.routesForPath(path).some(({ gather }) => gather !== undefined);
  }

  /** Whether the request may run more than once according to every version that has a route for its path. */
  isRepeatable({ path }: CallerRequest): boolean {
    return this.routesForPath(path).every(({ repeatable }) => repeatable);
  }

  /** Returns the index of the newest version that the store had acknowledged at `at`, or -1 if there is none. */
  newestAt(at: number): number {
    return this.observations.versions.findLastIndex(({ acknowledgedAt }) => acknowledgedAt <= at);
  }

  /** Returns the index of the oldest version that may be in force at `at` in a gateway in contact. */
  oldestAt(at: number): number {
    return Math.max(0, this.newestAt(at - this.run.bounds.configurationMs));
  }

  /** Returns the indexes of the versions from `oldest` to `newest` for which `holds` returns true. */
  versionsWhere(
    oldest: number,
    newest: number,
    holds: (version: Version) => boolean,
  ): readonly number[] {
    return this.observations.versions.flatMap((version, index) =>
      index >= oldest && index <= newest && holds(version) ? [index] : [],
    );
  }

  private routesForPath(path: string): readonly VersionRoute[] {
    return this.observations.versions.flatMap((version) => findRoute(version, path) ?? []);
  }
}
