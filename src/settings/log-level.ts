/** Log levels, from the least to the most verbose. */
export const LOG_LEVELS = ['error', 'warn', 'info', 'debug'] as const;

/** A log level. */
export type LogLevel = (typeof LOG_LEVELS)[number];
