import { describe, expect, it } from 'vitest';
import { platformProtocol } from '../../platform/protocol.js';
import type { CallId } from '../../src/gateway/model/request.js';
import { CallerRequests } from '../../src/gateway/runtime/caller-requests.js';
import { pairHeaders } from '../../src/gateway/runtime/headers.js';

const requests = new CallerRequests(platformProtocol.headers);

const add = (...flat: readonly string[]): CallId => {
  const headers = pairHeaders(['Host', 'shop.example', ...flat]);
  return requests.add({ method: 'GET', path: '/x', requestId: 'r', headers, body: null }).call;
};

const passedOn = (call: CallId): readonly string[] =>
  requests.find(call)?.passedHeaders.slice(2) ?? [];

describe('the caller of a request', () => {
  it('replaces the key and every tenant header of the caller, in any case and any number', () => {
    const call = add('API-KEY', 'k', 'X-Tenant', 'other', 'x-tEnAnT', 'third', 'api-key', 'k');
    requests.setCaller(call, 'bulk');
    expect(passedOn(call)).toEqual(['x-tenant', 'bulk']);
  });

  it('leaves the other headers as received, in their order, names that are alike among them', () => {
    const kept = ['X-Tenants', 'a', 'Accept', '*/*', 'x-api-key', 'b', 'Accept', 'text/html'];
    const call = add(...kept, 'Api-Key', 'k');
    requests.setCaller(call, 'bulk');
    expect(passedOn(call)).toEqual([...kept, 'x-tenant', 'bulk']);
  });

  it('leaves credentials other than the API key to the services', () => {
    const call = add('Authorization', 'Bearer t', 'Api-Key', 'k');
    requests.setCaller(call, 'bulk');
    expect(passedOn(call)).toEqual(['Authorization', 'Bearer t', 'x-tenant', 'bulk']);
  });

  it('is passed on if the caller lists the header as a hop-by-hop one', () => {
    const call = add('Connection', 'x-tenant, api-key', 'X-Tenant', 'other', 'Api-Key', 'k');
    requests.setCaller(call, 'bulk');
    expect(passedOn(call)).toEqual(['x-tenant', 'bulk']);
  });

  it('is not named for an anonymous request, whose key and tenant header are removed', () => {
    const call = add('Api-Key', 'k', 'X-Tenant', 'other', 'Accept', '*/*');
    requests.setCaller(call, undefined);
    expect(passedOn(call)).toEqual(['Accept', '*/*']);
  });

  it('is named in UTF-8, one character for each byte, as the HTTP client sends it', () => {
    const call = add('Api-Key', 'k');
    requests.setCaller(call, 'bülk 名');
    expect(Buffer.from(passedOn(call)[1] ?? '', 'latin1').toString('utf8')).toBe('bülk 名');
  });

  it('does not change the fingerprint, by which other attempts and gateways know the request', () => {
    const call = add('Api-Key', 'k');
    const before = requests.find(call)?.fingerprint;
    requests.setCaller(call, 'bulk');
    expect(requests.find(call)?.fingerprint).toBe(before);
    expect(requests.find(add('Api-Key', 'other'))?.fingerprint).not.toBe(before);
  });

  it('is ignored for a request that has ended', () => {
    const call = add('Api-Key', 'k');
    requests.remove(call);
    requests.setCaller(call, 'bulk');
    expect(requests.find(call)).toBeUndefined();
  });
});
