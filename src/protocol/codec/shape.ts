/** Elementary checks that compose the shape checks of messages; cheap enough to run for each leg. */

/** An object whose fields are unknown. */
export type Fields = Readonly<Record<string, unknown>>;

/** True for an object that is neither null nor an array. */
export const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** True for a string. */
export const isText = (value: unknown): value is string => typeof value === 'string';

/** True for a finite number. */
export const isFiniteNumber = (value: unknown): value is number => Number.isFinite(value);

/** True for an integer of at least 0. */
export const isCount = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

/** True if `value` is undefined or passes `check`. */
export const isOptional = (value: unknown, check: (value: unknown) => boolean): boolean =>
  value === undefined || check(value);

/** True for an array whose elements all pass `check`. */
export const isListOf = (value: unknown, check: (value: unknown) => boolean): boolean =>
  Array.isArray(value) && value.every(check);
