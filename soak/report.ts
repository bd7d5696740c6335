/** Formats the result of a run: a summary and, for each violation, the related log lines. */
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { PROMISES, type Violation } from './checker/violation.js';
import type { ExecutedFault } from './faults/fault-runner.js';
import type { SoakResult } from './run-soak.js';

/** Maximum number of violations shown per promise; the others are only counted. */
const MAX_SHOWN_PER_PROMISE = 3;

/** Period around a violation from which log lines of the gateway are shown, in milliseconds. */
const LOG_BEFORE_MS = 8_000;
const LOG_AFTER_MS = 500;
const MAX_LOG_LINES = 40;

interface LogLine {
  readonly time: number;
  readonly part?: string;
  readonly requestId?: string;
}

const parseLine = (text: string): LogLine | undefined => {
  try {
    return JSON.parse(text) as LogLine;
  } catch {
    // The last line of a killed process may be incomplete.
    return undefined;
  }
};

/** Selects log lines about the request itself, and other lines of the gateway around the violation. */
const selectLines = (log: string, { at, requestId }: Violation): readonly string[] => {
  const wallTime = performance.timeOrigin + at;
  const isWanted = (text: string): boolean => {
    const line = parseLine(text);
    if (line === undefined) {
      return false;
    }
    const isNear = line.time > wallTime - LOG_BEFORE_MS && line.time < wallTime + LOG_AFTER_MS;
    return line.part === 'request'
      ? requestId !== undefined && line.requestId === requestId
      : isNear;
  };
  return log.split('\n').filter(isWanted).slice(-MAX_LOG_LINES);
};

const describeFault = ({ fault, from, to }: ExecutedFault, startedAt: number): string => {
  const { type, ...fields } = fault;
  const end = to === undefined ? '' : ` to ${Math.round(to - startedAt)}`;
  return `  ${Math.round(from - startedAt)}${end}: ${type} ${JSON.stringify(fields)}`;
};

const describeViolation = async (
  { folder, startedAt }: SoakResult,
  violation: Violation,
): Promise<readonly string[]> => {
  const { promise, at, gateway, requestId, text } = violation;
  const where = gateway === undefined ? '' : ` front-${gateway + 1}`;
  const about = requestId === undefined ? '' : ` ${requestId}`;
  const head = `BROKEN ${promise} at ${Math.round(at - startedAt)}${where}${about}: ${text}`;
  if (gateway === undefined) {
    return [head];
  }
  const log = await readFile(join(folder, `front-${gateway + 1}.log`), 'utf8').catch(() => '');
  return [head, ...selectLines(log, violation).map((line) => `    ${line}`)];
};

const countOutcomes = ({ observations }: SoakResult): string => {
  const counts = new Map<string, number>();
  for (const { outcome } of observations.requests) {
    const name = outcome.type === 'answered' ? String(outcome.status) : outcome.type;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const sorted = [...counts].sort(([left], [right]) => left.localeCompare(right));
  return sorted.map(([name, count]) => `${name}: ${count}`).join(', ');
};

const summarize = (result: SoakResult): readonly string[] => {
  const { plan, observations, violations, caseCounts } = result;
  const { requests, arrivals, versions, disturbances } = observations;
  const stalls = disturbances.filter(({ scope }) => scope.type === 'everything');
  const stalledMs = stalls.reduce((sum, { from, to }) => sum + to - from, 0);
  return [
    `seed ${plan.seed}: ${plan.gateways} gateways, ${plan.schedule.length} faults, ` +
      `${versions.length} versions, at most ${plan.maxConnections} connections of a replica`,
    `  ${requests.length} requests (${countOutcomes(result)}), ${arrivals.length} arrivals`,
    `  cases checked: ${[...caseCounts].map(([promise, cases]) => `${promise} ${cases}`).join(', ')}`,
    `  the soak process stalled ${stalls.length} times, ${Math.round(stalledMs)} ms in total`,
    violations.length === 0 ? '  every promise held' : `  ${violations.length} violations`,
  ];
};

/** Returns the lines of the report of a run. Times are in milliseconds since its start. */
export const formatReport = async (result: SoakResult): Promise<readonly string[]> => {
  const { violations, executed, startedAt, folder, plan } = result;
  if (violations.length === 0) {
    return summarize(result);
  }
  const shown = PROMISES.flatMap((promise) =>
    violations.filter((each) => each.promise === promise).slice(0, MAX_SHOWN_PER_PROMISE),
  );
  const described = await Promise.all(shown.map((each) => describeViolation(result, each)));
  return [
    ...summarize(result),
    'faults injected:',
    ...executed.map((each) => describeFault(each, startedAt)),
    ...described.flat(),
    `  ${violations.length - shown.length} more violations; complete logs: ${folder}`,
    `  to repeat: npm run soak -- --seed ${plan.seed} --gateways ${plan.gateways} ` +
      `--minutes ${plan.durationMs / 60_000}`,
  ];
};
