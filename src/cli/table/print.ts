/** Output of `crossroad table`: data to standard output, messages to standard error. */
import type { ClientProblem } from '../operator/operator-client.js';
import { formatFinding, type Finding } from '../../table/finding.js';
import { hasErrors } from '../../table/validate-rows.js';
import { ExitCode } from '../exit-code.js';

/** Prints data to standard output. */
export const printOut = (text: string): void => {
  process.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
};

/**
 * Replaces control characters by a dot, so that the text of other operators cannot control a
 * terminal.
 */
export const replaceControlCharacters = (text: string): string =>
  text.replace(/[\p{Cc}\p{Cf}]/gu, '·');

/** Prints problems, findings and progress to standard error. */
export const printError = (text: string): void => {
  process.stderr.write(text.endsWith('\n') ? text : `${text}\n`);
};

/** Prints findings, one per line. */
export const printFindings = (findings: readonly Finding[]): void => {
  findings.forEach((finding) => {
    printError(formatFinding(finding));
  });
};

/** Returns the exit code for findings. */
export const exitCodeOf = (findings: readonly Finding[]): ExitCode =>
  hasErrors(findings) ? ExitCode.badSettings : ExitCode.done;

/** Prints the problem of a failed request; returns the exit code. */
export const reportProblem = (problem: ClientProblem): ExitCode => {
  printError(`crossroad table: ${problem.problem}`);
  printFindings(problem.findings);
  return hasErrors(problem.findings) ? ExitCode.badSettings : ExitCode.failed;
};
