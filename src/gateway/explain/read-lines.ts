/** Finds the log lines of gateways about one request. */
import type { Decision } from '../log/log-event.js';

/** A line about a request, as it was logged. */
export type RequestLine = Decision & {
  /** Milliseconds since the epoch when the line was written. */
  readonly time: number;
  readonly node: string;
  readonly requestId: string;
  /** How long before `time` the decision was made, in milliseconds. */
  readonly agoMs: number;
};

/** The lines found in log files. */
export interface FoundLines {
  readonly lines: readonly RequestLine[];
  /** Number of lines that begin like a log line of a gateway and are not valid JSON. */
  readonly malformed: number;
}

const isRequestLine = (value: unknown, requestId: string): value is RequestLine =>
  typeof value === 'object' &&
  value !== null &&
  'event' in value &&
  'requestId' in value &&
  value.requestId === requestId;

/** Returns when the decision of a line was made, in milliseconds since the epoch. */
export const decidedAt = ({ time, agoMs }: RequestLine): number => time - agoMs;

/**
 * Finds the lines about a request in `texts`, ordered by the time of their decisions. Any prefix before the JSON of a
 * line is ignored.
 */
export const findRequestLines = (texts: readonly string[], requestId: string): FoundLines => {
  const lines: RequestLine[] = [];
  let malformed = 0;
  for (const line of texts.flatMap((text) => text.split('\n'))) {
    const begin = line.indexOf('{"time"');
    if (begin < 0) {
      continue;
    }
    try {
      const value: unknown = JSON.parse(line.slice(begin));
      if (isRequestLine(value, requestId)) {
        lines.push(value);
      }
    } catch {
      malformed += 1;
    }
  }
  lines.sort((left, right) => decidedAt(left) - decidedAt(right));
  return { lines, malformed };
};
