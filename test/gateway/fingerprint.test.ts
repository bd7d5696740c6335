import { describe, expect, it } from 'vitest';
import { fingerprintOf } from '../../src/gateway/runtime/fingerprint.js';

const REQUEST = {
  method: 'POST',
  path: '/all/x?page=2',
  passedHeaders: ['Host', 'shop.example', 'x-request-id', 'r-1', 'Api-Key', 'k1'],
  body: Buffer.from('body'),
};

const fingerprintWith = (change: Partial<typeof REQUEST>): string =>
  fingerprintOf({ ...REQUEST, ...change }, ['api-key']);

describe('the fingerprint of a request', () => {
  it('is the same for each attempt', () => {
    const passedHeaders = ['x-request-id', 'r-2', 'host', 'shop.example', 'api-key', 'k1'];
    expect(fingerprintWith({ passedHeaders })).toBe(fingerprintWith({}));
    expect(fingerprintWith({})).toMatch(/^[0-9a-f]{16}$/);
  });

  it('differs for another method, path, body, host or caller', () => {
    const others = [
      fingerprintWith({ method: 'PUT' }),
      fingerprintWith({ path: '/all/x?page=3' }),
      fingerprintWith({ body: Buffer.from('other') }),
      fingerprintWith({ passedHeaders: ['host', 'other.example', 'api-key', 'k1'] }),
      fingerprintWith({ passedHeaders: ['host', 'shop.example', 'api-key', 'k2'] }),
    ];
    expect(new Set([fingerprintWith({}), ...others]).size).toBe(6);
  });
});
