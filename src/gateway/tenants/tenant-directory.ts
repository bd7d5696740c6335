/** Finds tenants by their API keys. */
import type { KeyDigest, Tenant } from '../model/tenant.js';

/** The tenants of one configuration version, indexed by the digests of their keys. */
export class TenantDirectory {
  private readonly byKey: ReadonlyMap<KeyDigest, Tenant>;

  constructor(tenants: readonly Tenant[]) {
    this.byKey = new Map(
      tenants.flatMap((tenant) => tenant.keyDigests.map((digest) => [digest, tenant] as const)),
    );
  }

  /** Returns the tenant that holds a key; undefined if none does. */
  find(digest: KeyDigest): Tenant | undefined {
    return this.byKey.get(digest);
  }
}
