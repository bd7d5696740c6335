/** Counters and histograms of a gateway; they are part of its state. */
import { CounterMetric, HistogramMetric } from './metric-series.js';

/** Upper bounds of the buckets of latencies, in seconds. */
const LATENCY_BOUNDS_SECONDS = [
  0.002, 0.005, 0.01, 0.02, 0.035, 0.055, 0.08, 0.115, 0.2, 0.3, 0.5, 1, 2, 5, 10,
];

/** Creates all counters and histograms of a gateway. */
export const createGatewayCounters = () => ({
  requests: new CounterMetric({
    name: 'crossroad_gateway_requests_total',
    help: 'Requests of callers that ended, by route and outcome; what was refused has its reason as outcome.',
    labelNames: ['route', 'outcome'],
  }),
  requestDuration: new HistogramMetric(
    {
      name: 'crossroad_gateway_request_duration_seconds',
      help: 'Time from the arrival of a request to its final answer.',
      labelNames: ['route'],
    },
    LATENCY_BOUNDS_SECONDS,
  ),
  attempts: new CounterMetric({
    name: 'crossroad_gateway_attempts_total',
    help: 'Attempts sent to replicas, by service and reason (first, retry, hedge).',
    labelNames: ['service', 'reason'],
  }),
  attemptDuration: new HistogramMetric(
    {
      name: 'crossroad_gateway_attempt_duration_seconds',
      help: 'Time from the start of an attempt to its end, by outcome.',
      labelNames: ['outcome'],
    },
    LATENCY_BOUNDS_SECONDS,
  ),
  droppedAttempts: new CounterMetric({
    name: 'crossroad_gateway_dropped_attempts_total',
    help: 'Attempts that waited for room until it was too late, by class (0 is the most urgent).',
    labelNames: ['class'],
  }),
  waitingAttempts: new CounterMetric({
    name: 'crossroad_gateway_waiting_attempts_total',
    help: 'Attempts that began to wait for room, by class, and by whether slots of the usable replicas were idle as far as this feeder knows (idle-slots, all-used).',
    labelNames: ['class', 'slots'],
  }),
  attemptWait: new HistogramMetric(
    {
      name: 'crossroad_gateway_attempt_wait_seconds',
      help: 'Time that attempts waited for room until they started or were dropped, by class (0 is the most urgent).',
      labelNames: ['class'],
    },
    LATENCY_BOUNDS_SECONDS,
  ),
  extraAttempts: new CounterMetric({
    name: 'crossroad_gateway_extra_attempts_total',
    help: 'Attempts that took from the retry budget of a service, by reason; resend: another feeder may have sent the leg before.',
    labelNames: ['service', 'reason'],
  }),
  budgetDenials: new CounterMetric({
    name: 'crossroad_gateway_budget_denials_total',
    help: 'Further attempts that the retry budget of a service did not allow.',
    labelNames: ['service'],
  }),
  replicaCrashes: new CounterMetric({
    name: 'crossroad_gateway_replica_crashes_total',
    help: 'Replicas that ended while they ran requests of this gateway, by service.',
    labelNames: ['service'],
  }),
  crashMessages: new CounterMetric({
    name: 'crossroad_gateway_crash_messages_total',
    help: 'Messages between gateways about requests that were running when replicas crashed, by direction (sent, received).',
    labelNames: ['direction'],
  }),
  unawaitedRuns: new CounterMetric({
    name: 'crossroad_gateway_unawaited_runs_total',
    help: 'Attempts that a replica may have run and that nobody waited for when they ended, by service and outcome.',
    labelNames: ['service', 'outcome'],
  }),
  quotaTokens: new CounterMetric({
    name: 'crossroad_gateway_quota_tokens_total',
    help: 'Tokens that this gateway has granted: as the owner of a tenant, as a backup, and ahead of requests.',
    labelNames: ['role'],
  }),
  subqueries: new CounterMetric({
    name: 'crossroad_gateway_subqueries_total',
    help: 'Subqueries: sent to feeders, moved to others, and taken as a feeder.',
    labelNames: ['step'],
  }),
  storeCalls: new CounterMetric({
    name: 'crossroad_gateway_store_calls_total',
    help: 'Calls to the store, by kind.',
    labelNames: ['call'],
  }),
  storeFailures: new CounterMetric({
    name: 'crossroad_gateway_store_failures_total',
    help: 'Lists and watches of the store that failed, by collection and problem.',
    labelNames: ['collection', 'problem'],
  }),
  unreadableAnswers: new CounterMetric({
    name: 'crossroad_gateway_unreadable_answers_total',
    help: 'Answers of replicas that were malformed (bad-answer), exceeded a limit (endless-answer) or were given up to save memory (no-memory), by service and problem.',
    labelNames: ['service', 'problem'],
  }),
  unreadableObjects: new CounterMetric({
    name: 'crossroad_gateway_unreadable_objects_total',
    help: 'Objects of the store whose content could not be read, by collection; once each time they are read.',
    labelNames: ['collection'],
  }),
});

/** The counters of one gateway. */
export type GatewayCounters = ReturnType<typeof createGatewayCounters>;
