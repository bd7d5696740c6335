/** Synthetic observations for tests of the checker: a run in which every promise holds. */
import { checkRun } from '../../soak/checker/check-run.js';
import type { CheckedRun } from '../../soak/checker/evidence.js';
import type { PromiseName } from '../../soak/checker/violation.js';
import { greatestRecords } from '../../soak/checker/whole-answers.js';
import {
  type Arrival,
  type CallerRequest,
  createObservations,
  type Observations,
  type Outcome,
  type Version,
  type VersionTenant,
} from '../../soak/model/observations.js';
import { bodyOf, digestOf } from '../../soak/world/answer-body.js';

/** When the faults of the synthetic run ended. */
export const FAULTS_ENDED_AT = 100_000;

const RUN: CheckedRun = {
  gateways: 2,
  usesFeeders: false,
  bounds: {
    drainMs: 3_000,
    graceMs: 6_000,
    configurationMs: 3_000,
    retryRatio: 0.2,
    retryWindowMs: 10_000,
    retrySlack: 5,
    contactMs: 4_000,
    recoveryMs: 12_000,
    rollbackSlackMs: 250,
    lossSlackMs: 200,
    keyRevocationMs: 5_000,
    quotaWindowMs: 5_000,
    quotaOvershoot: 0.1,
    quotaSlack: 20,
  },
};

/** Key of the tenant `main`, which runs with tenants must have. */
export const MAIN_KEY = 'key-main';

const SHARDS = ['shard-0', 'shard-1', 'shard-2', 'shard-3'];
const EMPTY_BODY = digestOf(Buffer.of());

const versionAt = (
  acknowledgedAt: number,
  number: number,
  tenants: readonly VersionTenant[] | undefined,
): Version => ({
  ...(tenants !== undefined && { tenants }),
  version: number * 3 + 3,
  acknowledgedAt,
  routes: [
    {
      pathPrefix: '/all/',
      repeatable: true,
      services: SHARDS,
      gather: { maxRecords: 10, minCoverage: 0.75 },
    },
    { pathPrefix: '/once/', repeatable: false, services: ['desk'] },
    { pathPrefix: '/move/', repeatable: true, services: [number === 0 ? 'desk' : 'annex'] },
    { pathPrefix: `/only-${number}/`, repeatable: true, services: ['desk'] },
  ],
});

/** Builds observations step by step. */
export class SyntheticRun {
  readonly observations: Observations = createObservations();
  private count = 0;

  /**
   * Creates a run with a first version and with requests that are served after the faults.
   *
   * @param tenants - absent if the configuration has no tenants
   */
  constructor(private tenants?: readonly VersionTenant[]) {
    this.observations.faultsEndedAt = FAULTS_ENDED_AT;
    this.addVersion(0);
    for (const gateway of [0, 1]) {
      this.observations.readiness.push({ gateway, at: FAULTS_ENDED_AT + 13_000, ready: true });
      const apiKey = tenants === undefined ? {} : { apiKey: MAIN_KEY };
      const fields = { gateway, sentAt: FAULTS_ENDED_AT + 13_000, ...apiKey };
      this.addServed('/once/x', 'desk', fields, 'desk~0');
    }
  }

  /** Adds the next version; `/move/` moves from `desk` to `annex` with the second. */
  addVersion(acknowledgedAt: number, tenants = this.tenants): void {
    const { versions } = this.observations;
    this.tenants = tenants;
    versions.push(versionAt(acknowledgedAt, versions.length, tenants));
  }

  /** Adds a request that ended 20 ms after it was sent unless `fields` say otherwise. */
  addRequest(path: string, outcome: Outcome, fields: Partial<CallerRequest> = {}): CallerRequest {
    this.count += 1;
    const sentAt = fields.sentAt ?? 20_000;
    const request: CallerRequest = {
      id: `r${this.count}`,
      gateway: 0,
      incarnation: 1,
      method: 'GET',
      path,
      bodyDigest: EMPTY_BODY,
      sentAt,
      endedAt: sentAt + 20,
      outcome,
      ...fields,
    };
    this.observations.requests.push(request);
    return request;
  }

  /** Adds a request that the gateway answered without a replica. */
  addRefused(path: string, status: number, fields: Partial<CallerRequest> = {}): CallerRequest {
    return this.addRequest(path, this.answer(status, {}), fields);
  }

  /** Adds a request that was served by one replica. */
  addServed(
    path: string,
    service: string,
    fields: Partial<CallerRequest> = {},
    replica = `${service}~1`,
  ): CallerRequest {
    const signature = `signature-${this.count + 1}`;
    const bodyDigest = digestOf(bodyOf(signature));
    const request = this.addRequest(path, this.answer(200, { signature, bodyDigest }), fields);
    this.addAnswer(request, service, signature);
    this.addArrival(request, service, { replica });
    return request;
  }

  /** Adds a gather that the first `parts` shards answered. */
  addGathered(parts: number, changes: Partial<Extract<Outcome, { type: 'answered' }>> = {}): void {
    const partSignatures = SHARDS.slice(0, parts).map((each) => `${each}.${this.count}`);
    const bodyDigest = digestOf(greatestRecords(partSignatures, 10));
    const missingParts = SHARDS.length - parts;
    const outcome = this.answer(200, { partSignatures, missingParts, bodyDigest, ...changes });
    const request = this.addRequest('/all/x', outcome);
    SHARDS.slice(0, parts).forEach((shard, index) => {
      this.addAnswer(request, shard, partSignatures[index] ?? '');
      this.addArrival(request, shard);
    });
  }

  /** Adds the arrival of a request at a replica 5 ms after it was sent. */
  addArrival(request: CallerRequest, service: string, fields: Partial<Arrival> = {}): void {
    const { id, method, path, sentAt, bodyDigest, apiKey = '' } = request;
    const tenant = this.tenants?.find(({ keys }) => keys.includes(apiKey))?.name;
    this.observations.arrivals.push({
      requestId: id,
      replica: `${service}~1`,
      service,
      at: sentAt + 5,
      ran: true,
      method,
      path,
      workMs: 10,
      ...(tenant !== undefined && { tenant }),
      bodyDigest,
      endedAt: sentAt + 15,
      ...fields,
    });
  }

  addDisturbance(scope: 'store' | number, from: number, to: number, planned = false): void {
    const where =
      scope === 'store' ? { type: scope } : { type: 'gateway' as const, gateway: scope };
    this.observations.disturbances.push({ scope: where, what: 'synthetic', planned, from, to });
  }

  /** Returns the names of the broken promises without duplicates. */
  broken(run: Partial<CheckedRun> = {}): readonly PromiseName[] {
    const { violations } = checkRun(this.observations, { ...RUN, ...run });
    return [...new Set(violations.map(({ promise }) => promise))];
  }

  private addAnswer({ id }: CallerRequest, service: string, signature: string): void {
    const replica = `${service}~1`;
    const answer = { signature, requestId: id, replica, service, status: 200 };
    this.observations.answers.set(signature, answer);
  }

  private answer(
    status: number,
    fields: Partial<Extract<Outcome, { type: 'answered' }>>,
  ): Extract<Outcome, { type: 'answered' }> {
    const bodyDigest = EMPTY_BODY;
    return { type: 'answered', status, partSignatures: [], missingParts: 0, bodyDigest, ...fields };
  }
}
