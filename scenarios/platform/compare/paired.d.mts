/** Types of `paired.mjs` for its test. */

export interface Play {
  readonly way: string;
  readonly site: string;
  readonly day: string;
  readonly seed: string;
  readonly figures: Readonly<Record<string, number>>;
}

export interface Pair {
  readonly base: Play;
  readonly other: Play;
}

export interface Summary {
  readonly pairs: number;
  readonly mean: number | undefined;
  readonly spread: number | undefined;
}

export function meanOf(values: readonly number[]): number | undefined;
export function spreadOf(values: readonly number[]): number | undefined;
export function pairPlays(plays: readonly Play[], base: string, way: string): readonly Pair[];
export function summarize(pairs: readonly Pair[], figure: string): Summary;
export function groupByDay(pairs: readonly Pair[]): ReadonlyMap<string, readonly Pair[]>;
