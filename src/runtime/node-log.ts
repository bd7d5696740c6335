/** Log of a node: short sentences, each tagged with the component that logs it. */
import { createConsola, type ConsolaInstance } from 'consola/basic';
import type { LogPart, WriteLog } from '../core/effect.js';
import type { LogLevel } from '../settings/log-level.js';

/** Components of the driver that write to the log, in addition to those of the core. */
export type DriverPart = 'caller' | 'replica' | 'peer' | 'store' | 'operator' | 'node';

/** Writes a log line. */
export type LogWriter = (level: LogLevel, part: LogPart | DriverPart, sentence: string) => void;

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/** Creates a writer that omits lines more verbose than `level`. */
export const createLogWriter = (level: LogLevel): LogWriter => {
  const log = createConsola({ level: CONSOLA_LEVELS[level] });
  const parts = new Map<string, ConsolaInstance>();
  return (lineLevel, part, sentence) => {
    const existing = parts.get(part);
    const tagged = existing ?? log.withTag(part);
    if (existing === undefined) {
      parts.set(part, tagged);
    }
    tagged[lineLevel](sentence);
  };
};

/** Carries out a `write-log` effect. */
export const writeLogEffect = (log: LogWriter, effect: WriteLog): void => {
  log(effect.level, effect.part, effect.sentence);
};
