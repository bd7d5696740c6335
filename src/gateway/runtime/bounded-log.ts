/**
 * Formats structured log lines and limits their rate. Dropped lines are counted, including those that the sink had no
 * room for.
 */
import type { LogLevel } from '../../settings/log-level.js';
import type { GatewayLogPart, WriteLog, WriteTrace } from '../effect.js';
import type { StateChange } from '../log/log-event.js';
import type { LineSink } from './line-sink.js';

/** Long-term rate of lines per second, and maximum burst after a quiet period. */
const LINES_PER_SECOND = 100;
const BURST_LINES = 600;

/** Lines of the burst that samples of successful requests may not use. */
const LINES_RESERVED_FOR_FAILURES = 300;

/** Minimum time between two lines that report dropped ones, in milliseconds. */
const DROPPED_INTERVAL_MS = 1_000;

const MS_PER_SECOND = 1_000;

const LEVELS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 2, debug: 3 };

/** Name of the node, least severe level that is logged, sink and clocks. */
export interface BoundedLogOptions {
  readonly node: string;
  readonly level: LogLevel;
  readonly sink: LineSink;
  /** Milliseconds on a clock that never goes back. */
  readonly monotonicNow: () => number;
  /** Milliseconds since the epoch. */
  readonly wallNow: () => number;
}

/** Formats the log lines of one process and limits their rate. */
export class BoundedLog {
  private tokens = BURST_LINES;
  private refilledAt: number;
  private dropped = 0;
  private dropsReportedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: BoundedLogOptions) {
    this.refilledAt = options.monotonicNow();
  }

  /** Writes a change of state. */
  write({ level, part, change }: Omit<WriteLog, 'type'>): void {
    if (LEVELS[level] <= LEVELS[this.options.level]) {
      this.writeLine(level, part, change, 0);
    }
  }

  /** Writes the decisions about a request. */
  writeTrace({ requestId, reason, decisions }: WriteTrace): void {
    if (LEVELS[this.options.level] < LEVELS.info) {
      return;
    }
    const kept = reason === 'sampled' ? LINES_RESERVED_FOR_FAILURES : 0;
    const now = this.options.monotonicNow();
    for (const { at, decision } of decisions) {
      const agoMs = Math.round(now - at);
      this.writeLine('info', 'request', { requestId, agoMs, ...decision }, kept);
    }
  }

  private writeLine(level: string, part: GatewayLogPart, fields: object, kept: number): void {
    this.refill();
    if (this.tokens <= kept) {
      this.dropped += 1;
      return;
    }
    this.tokens -= 1;
    this.reportDropped();
    this.emit(level, part, fields);
  }

  private reportDropped(): void {
    const now = this.options.monotonicNow();
    if (this.dropped > 0 && now - this.dropsReportedAt >= DROPPED_INTERVAL_MS) {
      const change: StateChange = { event: 'lines-dropped', lines: this.dropped };
      this.dropped = 0;
      this.dropsReportedAt = now;
      this.emit('warn', 'lifecycle', change);
    }
  }

  private emit(level: string, part: GatewayLogPart, fields: object): void {
    const { node, sink, wallNow } = this.options;
    const line = JSON.stringify({ time: wallNow(), node, level, part, ...fields });
    if (!sink.write(`${line}\n`)) {
      this.dropped += 1;
    }
  }

  private refill(): void {
    const now = this.options.monotonicNow();
    const refilled = ((now - this.refilledAt) * LINES_PER_SECOND) / MS_PER_SECOND;
    this.tokens = Math.min(BURST_LINES, this.tokens + refilled);
    this.refilledAt = now;
  }
}
