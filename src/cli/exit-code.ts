/** Exit codes of every command. */
export const ExitCode = {
  done: 0,
  failed: 1,
  usage: 2,
  /** Errors in settings or a table; the value of EX_CONFIG in sysexits.h. */
  badSettings: 78,
} as const;

/** An exit code of the command. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** The meaning of each exit code. */
export const EXIT_CODE_MEANINGS: Readonly<Record<keyof typeof ExitCode, string>> = {
  done: 'done',
  failed: 'failure: refused, conflict, no answer, or a promise was broken',
  usage: 'usage error: unknown command or flag, or an invalid value',
  badSettings: 'findings in settings or a sheet; each is printed with its place',
};
