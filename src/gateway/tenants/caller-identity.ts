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
  _inForce: ConfigurationInForce,
  _route: Route,
  _request: CallerRequest,
): CallerIdentity => ({ type: 'unrestricted' });
