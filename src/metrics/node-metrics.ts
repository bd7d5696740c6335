/** Metrics of a node process: its core, its answers and the process itself. */
import { collectDefaultMetrics, Registry } from 'prom-client';
import type { CoreState } from '../core/state.js';
import { createAnswerRecorder, type AnswerRecorder } from './answer-recorder.js';
import { registerCoreMetrics } from './core-metrics.js';

/** The metrics of a node. */
export interface NodeMetrics {
  readonly registry: Registry;
  readonly answers: AnswerRecorder;
}

/** Creates the metrics of a node; `now` returns wall-clock time in milliseconds. */
export const createNodeMetrics = (state: () => CoreState, now: () => number): NodeMetrics => {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  registerCoreMetrics(registry, state);
  return { registry, answers: createAnswerRecorder(registry, now) };
};
