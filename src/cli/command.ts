/** The interface of a subcommand. */
import type { ExitCode } from './exit-code.js';

/** A subcommand of `crossroad`. */
export interface Command {
  readonly name: string;
  /** One-line description for the list of commands. */
  readonly summary: string;
  /** Text of `--help`. */
  readonly help: string;
  /** Runs the subcommand with the arguments after its name. */
  run(args: readonly string[]): Promise<ExitCode>;
}
