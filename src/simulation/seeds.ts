/** Derivation of the random seeds of a simulation's components. */
import { hash32 } from '../core/hash.js';

/** Derives the seed of the component `label`, so that components draw independent numbers. */
export const deriveSeed = (seed: number, label: string): number => hash32(label, seed >>> 0);
