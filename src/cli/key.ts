/** `crossroad key new`: creates a key, and prints its secret and the record for the store. */
import { parseArgs } from 'node:util';
import { createKey, type NewKey } from '../auth/create-key.js';
import type { KeyRole } from '../table/partner-keys.js';
import type { Command } from './command.js';
import { ExitCode } from './exit-code.js';
import { defineCommand, UsageError } from './flags.js';

const HELP = `Usage: crossroad key new --name <name> --role caller|operator [--json]

Creates a key. The secret is printed only once and is meant for the holder of the
key; the record, which contains only the SHA-256 of the secret, is added to the
keys of the partner.

Options:
  --name <name>  public name of the key and its holder
  --role <role>  caller: may query the partner's routes
                 operator: may read the table and edit the partner's rows
  --json         print one JSON object`;

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const isRole = (text: string | undefined): text is KeyRole =>
  text === 'caller' || text === 'operator';

const printKey = (key: NewKey, json: boolean): void => {
  const text = json
    ? JSON.stringify(key)
    : `secret: ${key.secret}\nrecord: ${JSON.stringify(key.record)}`;
  process.stdout.write(`${text}\n`);
};

const parseKeyArguments = (args: readonly string[]) =>
  parseArgs({
    args: [...args],
    allowPositionals: true,
    options: {
      name: { type: 'string' },
      role: { type: 'string' },
      json: { type: 'boolean', default: false },
    },
  });

const createFromArguments = (args: readonly string[]): ExitCode => {
  const { values, positionals } = parseKeyArguments(args);
  if (positionals.length !== 1 || positionals[0] !== 'new') {
    throw new UsageError('the action must be "new"');
  }
  if (values.name === undefined || !NAME_PATTERN.test(values.name)) {
    throw new UsageError('--name must be 1 to 63 of a-z, 0-9, ".", "_" and "-"');
  }
  if (!isRole(values.role)) {
    throw new UsageError('--role must be "caller" or "operator"');
  }
  printKey(createKey(values.name, values.role), values.json);
  return ExitCode.done;
};

/** The subcommand `key`. */
export const keyCommand: Command = defineCommand({
  name: 'key',
  summary: 'create keys for callers and operators',
  help: HELP,
  run: (args) => Promise.resolve(createFromArguments(args)),
});
