/** Findings: problems of an input, each with its place, which are collected and reported together. */

/** Severity of a finding; an input with an error is refused. */
export type FindingSeverity = 'error' | 'warning';

/** A problem found in an input. */
export interface Finding {
  readonly severity: FindingSeverity;
  /** Place of the problem, e.g. `node.yaml:12 caller.port` or `sheet/ensemble row season-roster/page column weight`. */
  readonly place: string;
  /** Description of the problem, as a short phrase. */
  readonly problem: string;
  /** Description of allowed values, as a short phrase; absent if the problem implies it. */
  readonly allowed?: string;
}

/** Formats a finding as one line. */
export const formatFinding = (finding: Finding): string => {
  const allowed = finding.allowed === undefined ? '' : ` (allowed: ${finding.allowed})`;
  return `${finding.severity}: ${finding.place}: ${finding.problem}${allowed}`;
};
