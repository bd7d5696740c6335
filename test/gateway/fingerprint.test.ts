import { describe, expect, it } from 'vitest';
import { fingerprintOf } from '../../src/gateway/runtime/fingerprint.js';

const REQUEST = {
  method: 'POST',
  path: '/all/x?page=2',
  passedHeaders: ['Host', 'shop.example', 'x-request-id', 'r-1', 'Api-Key', 'k1'],
  body: Buffer.from('body'),
};

const printOf = (change: Partial<typeof REQUEST>): string =>
  fingerprintOf({ ...REQUEST, ...change }, ['api-key']);

describe('the fingerprint of a request', () => {
  it('is the same for each try of it', () => {
    const passedHeaders = ['x-request-id', 'r-2', 'host', 'shop.example', 'api-key', 'k1'];
    expect(printOf({ passedHeaders })).toBe(printOf({}));
    expect(printOf({})).toMatch(/^[0-9a-f]{16}$/);
  });

  it('is another one for another method, path, body, host or caller', () => {
    const others = [
      printOf({ method: 'PUT' }),
      printOf({ path: '/all/x?page=3' }),
      printOf({ body: Buffer.from('other') }),
      printOf({ passedHeaders: ['host', 'other.example', 'api-key', 'k1'] }),
      printOf({ passedHeaders: ['host', 'shop.example', 'api-key', 'k2'] }),
    ];
    expect(new Set([printOf({}), ...others]).size).toBe(6);
  });
});
