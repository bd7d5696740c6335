import { createHash } from 'node:crypto';
import { describe, expect, it } from 'vitest';
import { keyDigestOf, readKeyDigests } from '../../src/gateway/runtime/key-digest.js';

const header = (name: string, value: string) => ({ name, value });

const digestsOf = (...headers: ReturnType<typeof header>[]): readonly string[] =>
  readKeyDigests(headers, 'api-key');

describe('the digest of a key', () => {
  it('is the first 16 bytes of its SHA-256 hash in base64url', () => {
    const expected = createHash('sha256').update('key-1').digest().subarray(0, 16);
    expect(keyDigestOf('key-1')).toBe(expected.toString('base64url'));
    expect(keyDigestOf('key-1')).toMatch(/^[\w-]{22}$/);
  });

  it('differs for keys that are alike', () => {
    const keys = ['key', 'Key', 'key ', 'ke', `${'k'.repeat(10_240)}`, `${'k'.repeat(10_241)}`];
    expect(new Set(keys.map(keyDigestOf)).size).toBe(keys.length);
  });
});

describe('the keys of a request', () => {
  it('are found by the name of the header in any case', () => {
    const expected = [keyDigestOf('k')];
    expect(digestsOf(header('API-KEY', 'k'))).toEqual(expected);
    expect(digestsOf(header('host', 'h'), header('aPi-kEy', 'k'))).toEqual(expected);
    expect(digestsOf(header('api-keys', 'k'), header('api_key', 'k'))).toEqual([]);
  });

  it('are absent without the header, and if it is empty', () => {
    expect(digestsOf()).toEqual([]);
    expect(digestsOf(header('api-key', ''))).toEqual([]);
    expect(digestsOf(header('api-key', ''), header('Api-Key', ''))).toEqual([]);
  });

  it('count once if they are equal, and are ambiguous if one of them is empty', () => {
    expect(digestsOf(header('api-key', 'k'), header('Api-Key', 'k'))).toEqual([keyDigestOf('k')]);
    expect(digestsOf(header('api-key', 'k'), header('api-key', ''))).toHaveLength(2);
  });

  it('are not all hashed, so that a request with thousands of keys costs little', () => {
    const many = Array.from({ length: 5_000 }, (_, index) => header('api-key', `k${index}`));
    expect(digestsOf(...many)).toEqual([keyDigestOf('k0'), keyDigestOf('k1')]);
  });
});
