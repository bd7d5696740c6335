/** Identifies the tenant that a request belongs to. */
import type { CallerRequest } from '../model/request.js';
import type { Route } from '../model/route.js';
import type { Tenant } from '../model/tenant.js';
import type { ConfigurationInForce } from '../state.js';

/**
 * Who sent a request. `unrestricted`: the configuration has no tenants, and headers are passed on unchanged. `anonymous`:
 * the route needs no key. `rejected`: the request has no key of a tenant.
 */
export type CallerIdentity =
  | { readonly type: 'unrestricted' }
  | { readonly type: 'anonymous' }
  | { readonly type: 'tenant'; readonly tenant: Tenant }
  | { readonly type: 'rejected'; readonly reason: 'key-missing' | 'key-unknown' };

/** Identifies the caller of a request on `route` by the configuration in force. */
export const identifyCaller = (
  { tenants }: Pick<ConfigurationInForce, 'tenants'>,
  { anonymous }: Pick<Route, 'anonymous'>,
  { keyDigests = [] }: Pick<CallerRequest, 'keyDigests'>,
): CallerIdentity => {
  if (tenants === undefined) {
    return { type: 'unrestricted' };
  }
  if (anonymous === true) {
    return { type: 'anonymous' };
  }
  const [first, ...others] = keyDigests;
  if (first === undefined) {
    return { type: 'rejected', reason: 'key-missing' };
  }
  const isAmbiguous = others.some((digest) => digest !== first);
  const tenant = isAmbiguous ? undefined : tenants.find(first);
  return tenant === undefined
    ? { type: 'rejected', reason: 'key-unknown' }
    : { type: 'tenant', tenant };
};
