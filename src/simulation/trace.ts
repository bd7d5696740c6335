/** Hash of all steps of all cores of a simulation, to compare runs. */
import { createHash } from 'node:crypto';
import type { SimulationObserver, StepRecord } from './observer.js';

/** Formats a step as one line; equal steps give equal bytes. */
const formatStep = (step: StepRecord): string =>
  `${step.at} ${step.node} ${JSON.stringify(step.event)} ${JSON.stringify(step.effects)}\n`;

/** Hashes the steps of a simulation. */
export class TraceHasher implements SimulationObserver {
  private readonly hash = createHash('sha256');
  /** Number of steps hashed. */
  steps = 0;

  /** Adds a step to the hash. */
  stepped(step: StepRecord): void {
    this.steps += 1;
    this.hash.update(formatStep(step));
  }

  /** Returns the hash of all steps so far, in hexadecimal. */
  digest(): string {
    return this.hash.copy().digest('hex');
  }
}
