/** Decides replacements of a partner's keys. */
import type { EditRequest } from '../../table/edit.js';
import type { Finding } from '../../table/finding.js';
import type { KeyRecord, PartnerKeys } from '../../table/partner-keys.js';
import { refuseWith, type ActionOf, type EditContext, type EditDecision } from './edit-decision.js';
import { appendRecord } from './edit-history.js';

/** A SHA-256 hash in lower-case hexadecimal. */
const SHA256_PATTERN = /^[0-9a-f]{64}$/;

const findKeyErrors = (keys: readonly KeyRecord[], place: string): Finding[] => {
  const findings: Finding[] = [];
  const seen = new Set<string>();
  for (const key of keys) {
    const keyPlace = `${place} key ${key.name}`;
    if (seen.has(key.name)) {
      findings.push({ severity: 'error', place: keyPlace, problem: 'stands twice' });
    }
    if (!SHA256_PATTERN.test(key.sha256)) {
      const problem = 'has no SHA-256 in lower-case hexadecimal';
      findings.push({ severity: 'error', place: keyPlace, problem });
    }
    seen.add(key.name);
  }
  if (!keys.some((key) => key.role === 'operator')) {
    const problem = 'has no key of an operator, which would lock the partner out of its own table';
    findings.push({ severity: 'error', place, problem });
  }
  return findings;
};

/** Decides a replacement of `keys`, the current ones. */
export const decideKeysEdit = (
  edit: EditRequest,
  action: ActionOf<'replace-keys'>,
  keys: PartnerKeys,
  context: EditContext,
): EditDecision => {
  const place = `keys/${edit.partner}`;
  const version = context.object?.version ?? 0;
  if (action.basedOn !== version) {
    const writer = keys.history?.at(-1)?.operator;
    const by = writer === undefined ? '' : ` by ${writer}`;
    return refuseWith(
      place,
      `was changed${by} since version ${action.basedOn}`,
      `version ${version}`,
    );
  }
  const findings = findKeyErrors(action.keys, place);
  if (findings.length > 0) {
    return { type: 'refused', findings };
  }
  const names = action.keys.map((key) => key.name);
  const history = appendRecord(keys.history ?? [], edit, names, version + 1);
  const replaced: PartnerKeys = { partner: edit.partner, keys: action.keys, history };
  return { type: 'write', content: { type: 'keys', keys: replaced }, findings: [] };
};
