/** Types of `figures.mjs` for its test. */

export interface Report {
  readonly G: number;
  readonly arrivals: number;
  readonly all: { readonly n: number; readonly in_aim: number; readonly not_owed: number };
  readonly services: readonly { readonly again: number }[];
  readonly parts: readonly (readonly [name: string, weight: number, earned: number])[];
  readonly prices: readonly (readonly [name: string, amount: number, price: number])[];
  readonly breaks: Readonly<Record<string, unknown>>;
  readonly fault: string | null;
}

export const FIGURES: readonly { readonly name: string; readonly digits: number }[];
export function readFigures(report: Report): Readonly<Record<string, number>>;
export function readObjections(report: Report): readonly string[];
