/** Callers with keys of several tenants, unknown keys, no key, or a tenant header of their own. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Random } from '../../src/core/random.js';
import type { TenantLoad } from '../model/tenant-schedule.js';
import type { CallerIdentity, Callers } from './callers.js';
import type { GatewayProcess } from './gateway-process.js';
import { PREFIXES } from './routes.js';
import { KEYS } from './tenants.js';

/** Minimum and maximum time between two requests at a gateway, in milliseconds. */
const MIN_GAP_MS = 20;
const MAX_GAP_MS = 80;

/** Interval between requests of one tenant at a gateway during a load, in milliseconds. */
const LOAD_INTERVAL_MS = 80;

/**
 * Processing time of ordinary requests, and of those of a load over the capacity, in milliseconds. The three replicas of a
 * service, of 24 slots each, run 80 of the long ones per second; 4 gateways get 100, and 6 get 150.
 */
const WORK_MS = 4;
const LONG_WORK_MS = 900;

/** Callers to draw from; those with several entries are drawn more often. */
const IDENTITIES: readonly CallerIdentity[] = [
  ...KEYS.revocable.map((apiKey) => ({ apiKey })),
  ...Array.from({ length: 5 }, () => ({ apiKey: KEYS.lowered })),
  ...Array.from({ length: 2 }, () => ({ apiKey: KEYS.mover })),
  { apiKey: KEYS.capped },
  { apiKey: KEYS.urgent },
  { apiKey: KEYS.batch },
  { apiKey: KEYS.unknown },
  {},
  { tenantHeader: 'main' },
  { apiKey: KEYS.unknown, tenantHeader: 'main' },
  { apiKey: KEYS.main, tenantHeader: 'urgent' },
];

const SENT_PREFIXES = [PREFIXES.gather, PREFIXES.moving, PREFIXES.once] as const;

const LOAD_KEYS: Readonly<Record<TenantLoad, readonly string[]>> = {
  'over-quota': [KEYS.capped],
  'over-capacity': [KEYS.urgent, KEYS.batch],
};

/** Callers of all tenants. */
export class TenantCallers {
  private running = true;
  private readonly ended: Promise<unknown>[] = [];

  constructor(private readonly callers: Callers) {}

  start(gateway: GatewayProcess, random: Random): void {
    this.ended.push(this.runCallers(gateway, random));
  }

  /** Sends an additional load to all gateways; resolves when it is over. */
  async load(gateways: readonly GatewayProcess[], load: TenantLoad, forMs: number): Promise<void> {
    const workMs = load === 'over-quota' ? WORK_MS : LONG_WORK_MS;
    const endsAt = performance.now() + forMs;
    while (this.running && performance.now() < endsAt) {
      for (const apiKey of LOAD_KEYS[load]) {
        gateways.forEach((gateway) => this.send(gateway, { apiKey }, PREFIXES.moving, workMs));
      }
      await pause(LOAD_INTERVAL_MS);
    }
  }

  async stop(): Promise<void> {
    this.running = false;
    await Promise.all(this.ended);
  }

  private async runCallers(gateway: GatewayProcess, random: Random): Promise<void> {
    while (this.running) {
      const identity = IDENTITIES[random.nextBelow(IDENTITIES.length)] ?? {};
      const prefix = SENT_PREFIXES[random.nextBelow(SENT_PREFIXES.length)] ?? PREFIXES.moving;
      this.send(gateway, identity, prefix, WORK_MS);
      await pause(MIN_GAP_MS + random.nextBelow(MAX_GAP_MS - MIN_GAP_MS));
    }
  }

  private send(
    gateway: GatewayProcess,
    identity: CallerIdentity,
    prefix: string,
    workMs: number,
  ): void {
    this.ended.push(this.callers.sendAs(gateway, identity, prefix, workMs));
  }
}
