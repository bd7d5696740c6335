/**
 * `crossroad check`: validates settings files and sheets offline, e.g. in a version control hook.
 */
import { readFileSync } from 'node:fs';
import { extname } from 'node:path';
import { parseArgs } from 'node:util';
import { identifier, type PartnerId } from '../core/identifiers.js';
import { readNodeSettings, SECRET_VARIABLE } from '../settings/read-node-settings.js';
import { formatFinding, type Finding } from '../table/finding.js';
import { hasErrors } from '../table/validate-rows.js';
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';
import { defineCommand, UsageError } from './flags.js';
import { readSheetFile } from './table/read-sheet-file.js';

const HELP = `Usage: crossroad check [options] <file>...

Checks files offline: node settings (.yaml, .yml, .json) and sheets (.csv). The
findings of all files are printed, each with its place.

Options:
  --partner <name>   owner of all rows of the sheets (default: the first row's partner)
  --strict           treat warnings as errors
  --json             print the findings as JSON

The secret shared by the nodes may be absent from a settings file if
${SECRET_VARIABLE} is set.

Exit codes: 0 no errors, 2 usage, 78 errors found.`;

const OPTIONS = {
  partner: { type: 'string' },
  strict: { type: 'boolean', default: false },
  json: { type: 'boolean', default: false },
} as const;

const SETTINGS_EXTENSIONS = ['.yaml', '.yml', '.json'];
const SHEET_EXTENSIONS = ['.csv'];

const checkSettings = (fileName: string): readonly Finding[] => {
  const secret = process.env[SECRET_VARIABLE];
  const overrides = secret === undefined ? {} : { peerSecret: secret };
  try {
    const text = readFileSync(fileName, 'utf8');
    return readNodeSettings({ fileName, text }, overrides).swap().orDefault([]);
  } catch (error) {
    const problem = error instanceof Error ? error.message : String(error);
    return [{ severity: 'error', place: fileName, problem }];
  }
};

const checkSheet = (file: string, partner: PartnerId | undefined): readonly Finding[] =>
  readSheetFile(file, partner).caseOf<readonly Finding[]>({
    Left: (findings) => findings,
    Right: ({ warnings }) => warnings,
  });

const checkFile = (file: string, partner: PartnerId | undefined): readonly Finding[] => {
  const extension = extname(file).toLowerCase();
  if (SETTINGS_EXTENSIONS.includes(extension)) {
    return checkSettings(file);
  }
  if (SHEET_EXTENSIONS.includes(extension)) {
    return checkSheet(file, partner);
  }
  const known = [...SETTINGS_EXTENSIONS, ...SHEET_EXTENSIONS].join(', ');
  throw new UsageError(
    `${file} is neither a settings file nor a sheet; its name must end in ${known}`,
  );
};

const printFindings = (findings: readonly Finding[], json: boolean): void => {
  if (json) {
    process.stdout.write(`${JSON.stringify(findings)}\n`);
    return;
  }
  findings.forEach((finding) => process.stderr.write(`${formatFinding(finding)}\n`));
};

const runCheck = (args: readonly string[]): ExitCode => {
  const { values, positionals } = parseArgs({
    args: [...args],
    options: OPTIONS,
    allowPositionals: true,
  });
  if (positionals.length === 0) {
    throw new UsageError('name the files to check');
  }
  const partner = values.partner === undefined ? undefined : identifier<PartnerId>(values.partner);
  const findings = positionals.flatMap((file) => checkFile(file, partner));
  printFindings(findings, values.json);
  const failed = values.strict ? findings.length > 0 : hasErrors(findings);
  return failed ? ExitCode.badSettings : ExitCode.done;
};

/** The subcommand `check`. */
export const checkCommand: Command = defineCommand({
  name: 'check',
  summary: 'check settings files and sheets offline',
  help: HELP,
  run: (args) => Promise.resolve().then(() => runCheck(args)),
});
