/** Output of `crossroad table`: data on the standard output, all else on the standard error. */
import type { ClientProblem } from '../operator/operator-client.js';
import { formatFinding, type Finding } from '../../table/finding.js';
import { hasErrors } from '../../table/validate-rows.js';
import { ExitCode } from '../exit-code.js';

/** Prints data. */
export const printOut = (text: string): void => {
  process.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
};

/** Makes text that others wrote harmless to a terminal: control characters become a dot. */
export const replaceControlCharacters = (text: string): string =>
  text.replace(/[\p{Cc}\p{Cf}]/gu, '·');

/** Prints what is not data: problems, findings, progress. */
export const printError = (text: string): void => {
  process.stderr.write(text.endsWith('\n') ? text : `${text}\n`);
};

/** Prints findings, one a line. */
export const printFindings = (findings: readonly Finding[]): void => {
  findings.forEach((finding) => {
    printError(formatFinding(finding));
  });
};

/** Exit code of findings. */
export const exitCodeOf = (findings: readonly Finding[]): ExitCode =>
  hasErrors(findings) ? ExitCode.badSettings : ExitCode.done;

/** Prints why a node gave no usable answer. */
export const reportProblem = (problem: ClientProblem): ExitCode => {
  printError(`crossroad table: ${problem.problem}`);
  printFindings(problem.findings);
  return hasErrors(problem.findings) ? ExitCode.badSettings : ExitCode.failed;
};
