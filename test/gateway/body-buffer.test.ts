import { describe, expect, it } from 'vitest';
import { BodyBuffer } from '../../src/gateway/runtime/body-buffer.js';

describe('a body buffer', () => {
  it('returns the bytes of chunks of all sizes in their order', () => {
    const sizes = [1, 4_096, 3, 70_000, 0, 2, 1_023, 5_000, 1];
    const chunks = sizes.map((size, index) => Buffer.alloc(size, index + 1));
    const body = new BodyBuffer();
    chunks.forEach((chunk) => body.append(chunk));
    expect(body.size).toBe(sizes.reduce((sum, size) => sum + size, 0));
    expect(body.toBuffer().equals(Buffer.concat(chunks))).toBe(true);
  });

  it('does not copy a body that arrived in one chunk', () => {
    const body = new BodyBuffer();
    const chunk = Buffer.from('whole');
    body.append(chunk);
    expect(body.toBuffer()).toBe(chunk);
  });

  // A body of 262,144 chunks of one byte, the usual limit, took 28 MB of the heap.
  it('keeps no object for each small chunk', () => {
    const received = Buffer.alloc(64 * 1024);
    const body = new BodyBuffer();
    for (let index = 0; index < 262_144; index += 1) {
      body.append(received.subarray(index % 60_000, (index % 60_000) + 1));
    }
    const parts = Object.values(body).find((value) => Array.isArray(value)) as Buffer[];
    expect(parts.length).toBeLessThan(10);
    expect(body.toBuffer()).toHaveLength(262_144);
  });
});
