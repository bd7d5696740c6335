/** Flags of all commands that connect to an operator port. */
import { readFileSync } from 'node:fs';
import { UsageError } from '../flags.js';
import type { OperatorTarget } from './operator-client.js';

/** Environment variable that names the operator port. */
export const OPERATOR_VARIABLE = 'CROSSROAD_OPERATOR';
/** Environment variable that holds the operator's key. */
export const KEY_VARIABLE = 'CROSSROAD_KEY';

/** The flags, for `util.parseArgs`. */
export const OPERATOR_OPTIONS = {
  operator: { type: 'string' },
  'key-file': { type: 'string' },
  json: { type: 'boolean', default: false },
} as const;

/** Help text of the flags. */
export const OPERATOR_HELP = `  --operator <url>       operator port of any node (or ${OPERATOR_VARIABLE})
  --key-file <file>      file with your operator key (or ${KEY_VARIABLE}); a flag
                         would show the key to other users of the machine
  --json                 print JSON`;

const readKeyFile = (file: string): string => {
  try {
    return readFileSync(file, 'utf8').trim();
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new UsageError(`--key-file cannot be read: ${reason}`);
  }
};

const readUrl = (text: string): string => {
  try {
    const url = new URL(text);
    if (url.protocol === 'http:' || url.protocol === 'https:') {
      return url.href;
    }
  } catch {
    // Reported below, as is a URL with another protocol.
  }
  throw new UsageError(`--operator must be a URL, e.g. http://127.0.0.1:8083`);
};

/** Reads the operator port and the key from flags or the environment. */
export const readOperatorTarget = (values: {
  readonly operator?: string | undefined;
  readonly 'key-file'?: string | undefined;
}): OperatorTarget => {
  const url = values.operator ?? process.env[OPERATOR_VARIABLE];
  const keyFile = values['key-file'];
  const secret = keyFile === undefined ? process.env[KEY_VARIABLE] : readKeyFile(keyFile);
  if (url === undefined) {
    throw new UsageError(
      `the operator port of a node is required: set --operator or ${OPERATOR_VARIABLE}`,
    );
  }
  if (secret === undefined || secret === '') {
    throw new UsageError(`an operator key is required: set --key-file or ${KEY_VARIABLE}`);
  }
  return { url: readUrl(url), secret };
};
