/** Finds tenants by their API keys. */
import type { KeyDigest, Tenant } from '../model/tenant.js';

/** The tenants of one configuration version, indexed by the digests of their keys. */
export class TenantDirectory {
  private readonly byKey = new Map<KeyDigest, Tenant>();

  constructor(tenants: readonly Tenant[]) {
    for (const tenant of tenants) {
      tenant.keyDigests.forEach((digest) => this.byKey.set(digest, tenant));
    }
  }

  /** Returns the tenant that holds a key; undefined if none does. */
  find(digest: KeyDigest): Tenant | undefined {
    return this.byKey.get(digest);
  }
}
