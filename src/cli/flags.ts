/** Parsing of flag values: numbers, choices and addresses. */
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';

/** An invalid flag or argument. The message names it and says what is allowed. */
export class UsageError extends Error {}

/** Inclusive bounds of a number. */
export interface NumberBounds {
  readonly min: number;
  readonly max: number;
  readonly integer?: boolean;
}

/** Bounds of port numbers. */
export const PORT_BOUNDS: NumberBounds = { min: 0, max: 65_535, integer: true };

/** Parses a number within bounds; throws a `UsageError` for other text. */
export const readNumber = (flag: string, text: string, bounds: NumberBounds): number => {
  const value = Number(text);
  const whole = bounds.integer !== true || Number.isInteger(value);
  if (text.trim() === '' || !whole || !(value >= bounds.min && value <= bounds.max)) {
    const kind = bounds.integer === true ? 'an integer' : 'a number';
    throw new UsageError(`--${flag} must be ${kind} from ${bounds.min} to ${bounds.max}`);
  }
  return value;
};

/** Parses one of `choices`; throws a `UsageError` for other text. */
export const readChoice = <Choice extends string>(
  flag: string,
  text: string,
  choices: readonly Choice[],
): Choice => {
  const chosen = choices.find((choice) => choice === text);
  if (chosen === undefined) {
    throw new UsageError(`--${flag} must be one of ${choices.join(', ')}`);
  }
  return chosen;
};

/** Parses a host and a port from `host:port`; throws a `UsageError` for other text. */
export const readHostPort = (flag: string, text: string): { host: string; port: number } => {
  const colon = text.lastIndexOf(':');
  if (colon < 1) {
    throw new UsageError(`--${flag} must be host:port`);
  }
  return { host: text.slice(0, colon), port: readNumber(flag, text.slice(colon + 1), PORT_BOUNDS) };
};

const isUsageProblem = (error: unknown): error is Error =>
  error instanceof UsageError ||
  (error instanceof Error && 'code' in error && String(error.code).startsWith('ERR_PARSE_ARGS'));

/** Wraps a command so that usage errors are printed and it returns `ExitCode.usage`. */
export const defineCommand = (command: Command): Command => ({
  ...command,
  async run(args) {
    try {
      return await command.run(args);
    } catch (error) {
      if (!isUsageProblem(error)) {
        throw error;
      }
      process.stderr.write(`crossroad ${command.name}: ${error.message}\n`);
      return ExitCode.usage;
    }
  },
});
