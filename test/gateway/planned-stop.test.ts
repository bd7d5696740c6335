import { describe, expect, it } from 'vitest';
import { gatheringGateway, success, type VirtualGateway } from './virtual-gateway.js';

/** Time from the request to stop until the callers' port is closed, and between two checks, in milliseconds. */
const ACCEPTING_MS = 3_200;
const CHECK_MS = 100;

const checkStop = (gateway: VirtualGateway, at: number): readonly string[] => {
  const before = gateway.effects.length;
  gateway.now = at;
  gateway.emit({ type: 'stop-due', at });
  return gateway.effects.slice(before).map(({ type }) => type);
};

describe('a planned stop', () => {
  // A gateway that had not run for 0.2 s ended with requests in its sockets that it had not read, and cut them off.
  it('reads what callers sent before the port was closed, and answers it before the process ends', () => {
    const gateway = gatheringGateway(1);
    gateway.emit({ type: 'stop-requested', at: 0 });
    const first = checkStop(gateway, ACCEPTING_MS + CHECK_MS);
    expect(first).toContain('close-caller-port');
    expect(first).not.toContain('end-process');
    const call = gateway.request();
    expect(checkStop(gateway, ACCEPTING_MS + 2 * CHECK_MS)).not.toContain('end-process');
    gateway.sent.forEach((attempt) => gateway.end(attempt, success('signature')));
    expect(gateway.answers.has(call)).toBe(true);
    expect(checkStop(gateway, ACCEPTING_MS + 3 * CHECK_MS)).toContain('end-process');
  });
});
