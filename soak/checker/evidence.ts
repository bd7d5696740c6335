/** Observations in an order that checks can use: what belongs to a request, and who was in touch when. */
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

/** What a check needs to know of a run besides the observations. */
export interface CheckedRun {
  readonly bounds: SoakBounds;
  readonly gateways: number;
  /** Gathers may be sent on by other gateways than the one that was asked. */
  readonly usesFeeders: boolean;
}

const isGateway = (scope: Scope, gateway: number): boolean =>
  scope.type === 'gateway' && scope.gateway === gateway;

/** The route of a version for a path: the one with the longest prefix. */
export const findRoute = ({ routes }: Version, path: string): VersionRoute | undefined =>
  routes
    .filter(({ pathPrefix }) => path.startsWith(pathPrefix))
    .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)[0];

/** Observations, indexed. */
export class Evidence {
  readonly requests: ReadonlyMap<string, CallerRequest>;
  /** How many cases a check has judged; one that judged none has shown nothing. */
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

  /** Notes that so many cases of a promise were judged. */
  recordCases(promise: PromiseName, cases: number): void {
    this.caseCounts.set(promise, (this.caseCounts.get(promise) ?? 0) + cases);
  }

  /** Where a request arrived, in order of time. */
  arrivalsOf(id: string): readonly Arrival[] {
    return this.arrivals.get(id) ?? [];
  }

  /** Where a request was run. */
  runsOf(id: string): readonly Arrival[] {
    return this.arrivalsOf(id).filter(({ ran }) => ran);
  }

  /** Whether nothing unplanned or planned happened to what `concerns` selects, in a span of time. */
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

  /** Whether neither the store nor any of the gateways had a fault from `contactMs` before `from` to `to`. */
  isInContact(gateways: readonly number[], from: number, to: number): boolean {
    const concerns = (scope: Scope): boolean =>
      scope.type === 'store' || gateways.some((gateway) => isGateway(scope, gateway));
    return this.isUndisturbed(concerns, from - this.run.bounds.contactMs, to);
  }

  /** Gateways that may have had a hand in a request. */
  gatewaysOf(request: CallerRequest): readonly number[] {
    if (!this.run.usesFeeders || !this.isGather(request)) {
      return [request.gateway];
    }
    return Array.from({ length: this.run.gateways }, (_, index) => index);
  }

  /** Whether the gateways that may have had a hand in a request were in touch. */
  isRequestInContact(request: CallerRequest, from: number, to: number): boolean {
    return this.isInContact(this.gatewaysOf(request), from, to);
  }

  /** Whether the path is one of a gather, in any version. */
  isGather({ path }: CallerRequest): boolean {
    return this.routesForPath(path).some(({ gather }) => gather !== undefined);
  }

  /** Whether the request may run more than once; so says every version that knows its path. */
  isRepeatable({ path }: CallerRequest): boolean {
    return this.routesForPath(path).every(({ repeatable }) => repeatable);
  }

  /** Index of the newest version that the store had at `at`; -1 for none. */
  newestAt(at: number): number {
    return this.observations.versions.findLastIndex(({ acknowledgedAt }) => acknowledgedAt <= at);
  }

  /** Index of the oldest version that may be in force at `at` at a gateway in touch. */
  oldestAt(at: number): number {
    return Math.max(0, this.newestAt(at - this.run.bounds.configurationMs));
  }

  /** Indexes of the versions from `oldest` to `newest` for which `holds`. */
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
