/** Writes successive versions of the configuration. */
import type { Random } from '../../src/core/random.js';
import {
  CONFIGURATION_ENTRY,
  configurationSpec,
  operatorRouteSpec,
} from '../../test/platform/operator-spec.js';
import type { StandInStore } from '../../test/platform/stand-in-store.js';
import type { Observations } from '../model/observations.js';
import { routesOf } from './routes.js';
import type { TenantChange } from '../model/tenant-schedule.js';
import type { TenantRoster } from './tenants.js';
import { SERVICES } from './topology.js';

/** Maximum difference between the numbers of successive versions. */
const MAX_VERSION_STEP = 5;

/** The operator of the deployment. */
export class Operator {
  private version = 0;
  private newestSpec: unknown;

  constructor(
    private readonly store: StandInStore,
    private readonly observations: Observations,
    private readonly random: Random,
    private readonly maxConnections: number,
    /** Absent if the configuration has no tenants. */
    private readonly roster?: TenantRoster,
  ) {}

  /** Index of the newest version, counted from 0. */
  get newest(): number {
    return this.observations.versions.length - 1;
  }

  /** Writes the next version, which the store acknowledges at once. */
  configure(): void {
    const { versions } = this.observations;
    const routes = routesOf(versions.length);
    this.version += 1 + this.random.nextBelow(MAX_VERSION_STEP);
    const specs = routes.map(operatorRouteSpec);
    const spec = configurationSpec(
      this.version,
      specs,
      SERVICES,
      this.maxConnections,
      {},
      this.roster?.specs(),
    );
    this.newestSpec = spec;
    this.rewriteNewest();
    versions.push({
      version: this.version,
      acknowledgedAt: performance.now(),
      routes,
      ...(this.roster !== undefined && { tenants: this.roster.tenants }),
    });
  }

  /** Changes the tenants in a new version. */
  changeTenants(change: TenantChange): void {
    this.roster?.apply(change);
    this.configure();
  }

  /** Writes the newest version again, in case a restore of the store has lost it. */
  rewriteNewest(): void {
    const { kind, name } = CONFIGURATION_ENTRY;
    this.store.put(kind, name, this.newestSpec);
  }
}
