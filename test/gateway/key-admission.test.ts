/** Admission of requests with keys: what is held, admitted and refused while keys are unconfirmed. */
import { hashKeys } from '../../src/gateway/tenants/keys-hash.js';
import { describe, expect, it, vi } from 'vitest';
import type { GatewayConfiguration } from '../../src/gateway/model/route.js';
import type { CallId } from '../../src/gateway/model/request.js';
import { keyedConfiguration, REVOCATION_MS } from './key-network.js';
import { routeTo, VirtualGateway } from './virtual-gateway.js';
import { configurationOf } from './virtual-store.js';

// Requests have a key unless their route is anonymous; how keys are read from requests is tested with the tenants.
vi.mock('../../src/gateway/tenants/caller-identity.js', () => ({
  identifyCaller: (
    { configuration }: { configuration: GatewayConfiguration },
    { anonymous }: { anonymous?: boolean },
  ) => {
    const tenant = configuration.tenants?.[0];
    if (tenant === undefined) {
      return { type: 'unrestricted' };
    }
    return anonymous === true ? { type: 'anonymous' } : { type: 'tenant', tenant };
  },
}));

const SERVICE = { type: 'service', service: 's0' } as const;

const withBound = (keyRevocationMs: number | undefined): VirtualGateway => {
  const gateway = new VirtualGateway();
  const { settings } = gateway.state;
  const bounds = {
    ...settings.bounds,
    ...(keyRevocationMs !== undefined && { keyRevocationMs }),
  };
  gateway.state.settings = { ...settings, bounds };
  return gateway;
};

const readConfiguration = (gateway: VirtualGateway, value: GatewayConfiguration): void =>
  gateway.emit({
    type: 'page-read',
    at: gateway.now,
    page: {
      collection: 'configuration',
      objects: [{ name: 'main', gone: false, value }],
      more: false,
      last: 'main',
      revision: value.version,
    },
  });

/** A gateway that has read its configuration and replicas, but has not confirmed its keys. */
const startedGateway = (
  configuration = keyedConfiguration(1),
  keyRevocationMs: number | undefined = REVOCATION_MS,
): VirtualGateway => {
  const gateway = withBound(keyRevocationMs);
  gateway.listReplicas(['s0']);
  readConfiguration(gateway, configuration);
  return gateway;
};

const confirm = (gateway: VirtualGateway, sentAt: number, version = 1): void =>
  gateway.emit({
    type: 'confirmation-ended',
    at: gateway.now,
    sentAt,
    answered: true,
    shown: {
      version,
      revision: version,
      keysHash: hashKeys(keyedConfiguration(version).tenants ?? []),
    },
  });

const reasonOf = (gateway: VirtualGateway, call: CallId): string | undefined => {
  const answer = gateway.answers.get(call);
  return answer?.type === 'refusal' ? answer.reason : undefined;
};

const readinessOf = ({ effects }: VirtualGateway): readonly unknown[] =>
  effects.filter(({ type }) => type === 'set-readiness');

describe('a request with a key', () => {
  it('is held at the start and sent with the first confirmation', () => {
    const gateway = startedGateway();
    gateway.request();
    expect(gateway.sent).toHaveLength(0);
    gateway.now = 5;
    confirm(gateway, 1);
    expect(gateway.sent).toHaveLength(1);
  });

  it('is refused when no confirmation arrives in time, with a short retry delay', () => {
    const gateway = startedGateway();
    const call = gateway.request();
    gateway.advanceTo(200);
    expect(gateway.answers.get(call)).toMatchObject({
      reason: 'keys-unconfirmed',
      mayHaveRun: false,
    });
    const answer = gateway.answers.get(call);
    const retryAfterMs = answer?.type === 'refusal' ? answer.retryAfterMs : undefined;
    expect(retryAfterMs).toBeGreaterThanOrEqual(50);
    expect(retryAfterMs).toBeLessThanOrEqual(200);
    expect(gateway.sent).toHaveLength(0);
  });

  it('is refused at once when the confirmation is too old', () => {
    const gateway = startedGateway();
    confirm(gateway, 0);
    gateway.advanceTo(4_849);
    gateway.request();
    expect(gateway.sent).toHaveLength(1);
    gateway.advanceTo(4_851);
    const call = gateway.request();
    expect(reasonOf(gateway, call)).toBe('keys-unconfirmed');
    expect(gateway.sent).toHaveLength(1);
  });

  it('is held again when the configuration changes while it is held and stays unconfirmed', () => {
    const gateway = startedGateway();
    gateway.request();
    gateway.now = 5;
    readConfiguration(gateway, keyedConfiguration(2));
    expect(gateway.sent).toHaveLength(0);
    confirm(gateway, 1, 1);
    expect(gateway.sent).toHaveLength(0);
    confirm(gateway, 6, 2);
    expect(gateway.sent).toHaveLength(1);
  });

  it('whose caller leaves while it is held is not sent', () => {
    const gateway = startedGateway();
    const call = gateway.request();
    gateway.emit({ type: 'caller-left', at: 1, call });
    confirm(gateway, 1);
    expect(gateway.sent).toHaveLength(0);
  });

  it('is held briefly after a process pause, also if the confirmation is too old by then', () => {
    const gateway = startedGateway();
    confirm(gateway, 0);
    gateway.now = 9_000;
    gateway.emit({ type: 'stood-still', at: 9_000, forMs: 9_000, suspendedMs: 9_000 });
    const call = gateway.request();
    expect(gateway.answers.has(call)).toBe(false);
    expect(gateway.sent).toHaveLength(0);
    expect(gateway.effects).toContainEqual({ type: 'set-key-confirmation-timer', at: 9_000 });
  });
});

describe('a request without a key', () => {
  it('on an anonymous route is sent while keys are unconfirmed', () => {
    const anonymous = { ...keyedConfiguration(1), routes: [routeTo(SERVICE, { anonymous: true })] };
    const gateway = startedGateway(anonymous);
    gateway.request();
    expect(gateway.sent).toHaveLength(1);
    expect(gateway.state.ready).toBe(true);
  });

  it('is sent where the configuration has no tenants, and nothing is confirmed there', () => {
    const gateway = startedGateway(configurationOf(1, [routeTo(SERVICE)]));
    gateway.request();
    expect(gateway.sent).toHaveLength(1);
    expect(gateway.state.ready).toBe(true);
    const calls = gateway.effects.flatMap((effect) =>
      effect.type === 'call-store' ? [effect.call.type] : [],
    );
    expect(calls).not.toContain('confirm');
    expect(gateway.effects.map(({ type }) => type)).not.toContain('set-key-confirmation-timer');
  });
});

describe('readiness', () => {
  it('is reported once the keys are confirmed, and withdrawn when the confirmation is too old', () => {
    const gateway = startedGateway();
    expect(readinessOf(gateway)).toEqual([
      { type: 'set-readiness', ready: false, servesPeers: true },
    ]);
    confirm(gateway, 0);
    expect(readinessOf(gateway)).toHaveLength(2);
    expect(gateway.state.ready).toBe(true);
    gateway.now = 4_851;
    gateway.emit({ type: 'key-confirmation-due', at: 4_851 });
    expect(gateway.state.ready).toBe(false);
    expect(gateway.state.servesPeers).toBe(true);
  });

  it('is the same as before where no time limit is set', () => {
    const gateway = withBound(undefined);
    gateway.listReplicas(['s0']);
    readConfiguration(gateway, keyedConfiguration(1));
    expect(readinessOf(gateway)).toEqual([{ type: 'set-readiness', ready: true }]);
    gateway.request();
    expect(gateway.sent).toHaveLength(1);
  });
});

describe('an answer to another gateway', () => {
  const ask = (gateway: VirtualGateway): unknown => {
    gateway.emit({
      type: 'peer-request-received',
      at: gateway.now,
      exchange: 1,
      from: 'front-2',
      request: { type: 'key-confirmation' },
    });
    const answers = gateway.effects.filter((effect) => effect.type === 'answer-peer');
    return answers.at(-1)?.answer;
  };

  it('gives the age of the confirmation, rounded up, and the version in force', () => {
    const gateway = startedGateway();
    expect(ask(gateway)).toEqual({
      type: 'key-confirmation',
      ageMs: null,
      version: null,
      keysHash: null,
    });
    confirm(gateway, 0);
    gateway.now = 100.2;
    expect(ask(gateway)).toEqual({
      type: 'key-confirmation',
      ageMs: 101,
      version: 1,
      keysHash: gateway.state.inForce?.keysHash,
    });
  });
});

describe('a confirming read that shows another version', () => {
  it('lists the configuration once if the version is newer, and confirms when it is in force', () => {
    const gateway = startedGateway();
    gateway.effects.splice(0);
    confirm(gateway, 1, 2);
    confirm(gateway, 2, 2);
    const lists = gateway.effects.filter(
      (effect) => effect.type === 'call-store' && effect.call.type === 'list',
    );
    expect(lists).toHaveLength(1);
    expect(gateway.state.keyConfirmation.isConfirmed).toBe(false);
    readConfiguration(gateway, keyedConfiguration(2));
    expect(gateway.state.keyConfirmation.confirmedAt).toBe(2);
    expect(gateway.state.ready).toBe(true);
  });

  it('is repeated if its version was superseded while it was made', () => {
    const gateway = startedGateway();
    gateway.now = 10;
    readConfiguration(gateway, keyedConfiguration(2));
    gateway.effects.splice(0);
    confirm(gateway, 9, 1);
    expect(gateway.state.keyConfirmation.isConfirmed).toBe(false);
    const calls = gateway.effects.flatMap((effect) =>
      effect.type === 'call-store' ? [effect.call.type] : [],
    );
    expect(calls).toEqual(['confirm']);
  });
});
