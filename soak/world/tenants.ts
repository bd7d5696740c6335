/** Tenants of the soak's configuration, and the changes that the operator makes to them. */
import { tenantSpec } from '../../test/platform/operator-spec.js';
import type { VersionTenant } from '../model/observations.js';
import type { TenantChange } from '../model/tenant-schedule.js';

/** Text that every key contains, so that replicas recognize a key wherever it is. */
export const KEY_MARK = 'soak-key-';

const keyOf = (name: string): string => `${KEY_MARK}${name}`;

/** Keys that the operator revokes one after the other. */
const REVOCABLE_KEYS: readonly string[] = Array.from({ length: 8 }, (_, index) =>
  keyOf(`leaving-${index}`),
);

/** Keys that callers send. */
export const KEYS = {
  /** Key of a tenant without a quota, which is never revoked. */
  main: keyOf('main'),
  urgent: keyOf('urgent'),
  batch: keyOf('batch'),
  /** Key of the tenant that sends several times its quota for some time. */
  capped: keyOf('capped'),
  /** Key of the tenant whose quota is lowered. */
  lowered: keyOf('lowered'),
  /** Key that moves from one tenant to another. */
  mover: keyOf('mover'),
  /** Key of no tenant. */
  unknown: keyOf('unknown'),
  revocable: REVOCABLE_KEYS,
} as const;

/** Requests per second, and burst, of the tenants with quotas, and of the lowered quota. */
const QUOTA = { ratePerSecond: 12, burst: 12 } as const;
const LOWERED_QUOTA = { ratePerSecond: 2, burst: 2 } as const;

const INITIAL_TENANTS: readonly VersionTenant[] = [
  { name: 'main', keys: [KEYS.main] },
  { name: 'urgent', keys: [KEYS.urgent], priority: 0 },
  { name: 'batch', keys: [KEYS.batch], priority: 2 },
  { name: 'capped', keys: [KEYS.capped], limit: QUOTA },
  { name: 'lowered', keys: [KEYS.lowered], limit: QUOTA },
  { name: 'first-home', keys: [keyOf('first-home'), KEYS.mover] },
  { name: 'second-home', keys: [keyOf('second-home')] },
  { name: 'leaving', keys: REVOCABLE_KEYS },
];

const changeTenant = (tenant: VersionTenant, change: TenantChange): VersionTenant => {
  const { name, keys } = tenant;
  if (change === 'revoke-key') {
    return name === 'leaving' ? { ...tenant, keys: keys.slice(1) } : tenant;
  }
  if (change === 'lower-quota') {
    return name === 'lowered' ? { ...tenant, limit: LOWERED_QUOTA } : tenant;
  }
  if (!name.endsWith('-home')) {
    return tenant;
  }
  const others = keys.filter((key) => key !== KEYS.mover);
  return { ...tenant, keys: others.length < keys.length ? others : [...keys, KEYS.mover] };
};

/** The tenants of the newest version. */
export class TenantRoster {
  tenants: readonly VersionTenant[] = INITIAL_TENANTS;

  apply(change: TenantChange): void {
    this.tenants = this.tenants.map((tenant) => changeTenant(tenant, change));
  }

  /** Returns the tenants in the operator's format. */
  specs(): readonly unknown[] {
    return this.tenants.map(({ name, keys, priority, limit }) =>
      tenantSpec(name, keys, {
        ...(priority !== undefined && { priority }),
        ...(limit !== undefined && { rate_per_s: limit.ratePerSecond, burst: limit.burst }),
      }),
    );
  }
}
