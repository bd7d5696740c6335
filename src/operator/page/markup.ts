/** Building blocks of the web page. The `html` tag escapes the text that is inserted into it. */
import { raw, type html } from 'hono/html';

/** A piece of HTML whose text has been escaped. */
export type Markup = ReturnType<typeof html>;

/** Renders a boolean attribute; `name` is not escaped, so it must be a constant. */
export const flagAttribute = (name: 'checked' | 'selected' | 'required', on: boolean): unknown =>
  on ? raw(` ${name}`) : '';

/** Formats a share as a percentage with up to two decimals. */
export const formatShare = (share: number): string =>
  `${(share * 100).toLocaleString('en', { maximumFractionDigits: 2 })} %`;

/** Formats a count with thousands separators. */
export const formatCount = (count: number): string => count.toLocaleString('en');

/** Formats a time in milliseconds since 1970, e.g. `2026-12-02 07:30:15 UTC`. */
export const formatTime = (at: number): string => {
  const time = new Date(at);
  return Number.isNaN(time.getTime())
    ? 'unknown'
    : `${time.toISOString().slice(0, 19).replace('T', ' ')} UTC`;
};

/** Formats a count and its noun, in the plural unless the count is 1. */
export const countWord = (count: number, word: string): string =>
  `${formatCount(count)} ${word}${count === 1 ? '' : 's'}`;
