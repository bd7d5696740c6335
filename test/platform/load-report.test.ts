import { describe, expect, it } from 'vitest';
import { platformProtocol } from '../../platform/protocol.js';

const { readLoad } = platformProtocol;

describe('a load report', () => {
  it('is parsed from three numbers', () => {
    expect(readLoad('3,0,8')).toEqual({ running: 3, waiting: 0, slots: 8 });
  });

  it('is parsed with a fourth number, the slowdown', () => {
    expect(readLoad('2, 1, 2, 850')).toEqual({ running: 2, waiting: 1, slots: 2, slowdown: 8.5 });
  });

  it('is undefined if it is malformed', () => {
    expect(readLoad('2,1')).toBeUndefined();
    expect(readLoad('2,1,2,fast')).toBeUndefined();
  });
});
