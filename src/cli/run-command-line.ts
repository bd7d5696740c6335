/** Selects and runs the subcommand. */
import type { Command } from './command.js';
import { COMMANDS } from './commands.js';
import { ExitCode } from './exit-code.js';

const describeCommands = (): string =>
  COMMANDS.map((command) => `  ${command.name.padEnd(12)} ${command.summary}`).join('\n');

const printUsage = (): void => {
  process.stdout.write(
    `Usage: crossroad <command> [options]\n\nCommands:\n${describeCommands()}\n`,
  );
  process.stdout.write('\nRun a command with --help for its options.\n');
};

const findCommand = (name: string): Command | undefined =>
  COMMANDS.find((command) => command.name === name);

const describeError = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/** Runs a command; an unhandled error is printed in one line and returns `ExitCode.failed`. */
const runCommand = async (command: Command, args: readonly string[]): Promise<ExitCode> => {
  try {
    return await command.run(args);
  } catch (error) {
    process.stderr.write(`crossroad ${command.name}: ${describeError(error)}\n`);
    return ExitCode.failed;
  }
};

/** Runs the command line `args` (without executable and script); returns the exit code. */
export const runCommandLine = async (args: readonly string[]): Promise<ExitCode> => {
  const [name, ...rest] = args;
  if (name === undefined || name === '--help' || name === '-h' || name === 'help') {
    printUsage();
    return name === undefined ? ExitCode.usage : ExitCode.done;
  }
  const command = findCommand(name);
  if (command === undefined) {
    process.stderr.write(`crossroad: unknown command "${name}"; see crossroad --help\n`);
    return ExitCode.usage;
  }
  if (rest.includes('--help') || rest.includes('-h')) {
    process.stdout.write(`${command.help}\n`);
    return ExitCode.done;
  }
  return runCommand(command, rest);
};
