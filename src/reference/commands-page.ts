/** The reference pages of commands and exit codes. */
import { COMMANDS } from '../cli/commands.js';
import { EXIT_CODE_MEANINGS, ExitCode } from '../cli/exit-code.js';
import { formatHead, formatTable, type ReferencePage } from './reference-page.js';

/** Creates the page of commands. */
export const createCommandsPage = (): ReferencePage => ({
  fileName: 'commands.md',
  text: `${formatHead('Commands', 'src/cli/commands.ts')}
${formatTable(
  ['command', 'what it does'],
  COMMANDS.map(({ name, summary }) => [`[\`${name}\`](#${name})`, summary]),
)}

${COMMANDS.map(({ name, help }) => `## ${name}\n\n\`\`\`text\n${help}\n\`\`\``).join('\n\n')}
`,
});

type ExitCodeName = keyof typeof ExitCode;

const EXIT_CODE_NAMES = Object.keys(ExitCode) as readonly ExitCodeName[];

/** Creates the page of exit codes. */
export const createExitCodesPage = (): ReferencePage => ({
  fileName: 'exit-codes.md',
  text: `${formatHead('Exit codes', 'src/cli/exit-code.ts')}
${formatTable(
  ['code', 'meaning'],
  EXIT_CODE_NAMES.map((name) => [String(ExitCode[name]), EXIT_CODE_MEANINGS[name]]),
)}
`,
});
