/** Formats findings for the web page. */
import type { Finding } from '../../table/finding.js';

/** Formats the problem and the allowed values of a finding, without its place. */
export const formatFindingText = (finding: Finding): string =>
  finding.allowed === undefined
    ? finding.problem
    : `${finding.problem}; allowed: ${finding.allowed}`;
