/** Runs a gateway as a process: settings from a file, signals, and the exit code. */
import { readFileSync, statSync } from 'node:fs';
import type { Either } from 'purify-ts/Either';
import { ExitCode } from '../../cli/exit-code.js';
import { type Finding, formatFinding } from '../../table/finding.js';
import type { GatewayProtocol } from '../protocol/protocol.js';
import { readGatewaySettings } from '../read-settings.js';
import type { GatewaySettings } from '../settings.js';
import type { EarlyPort } from './early-port.js';
import { BoundedLog } from './bounded-log.js';
import { openStandardOutput } from './line-sink.js';
import { type GatewayLog, type RunningGateway, startGateway } from './start-gateway.js';

/** How often the settings file is looked at for changes without a signal, in milliseconds. */
const SETTINGS_CHECK_MS = 2_000;

const readSettingsFile = (file: string): Either<readonly Finding[], GatewaySettings> =>
  readGatewaySettings(file, readFileSync(file, 'utf8'));

const modifiedAt = (file: string): number => {
  try {
    return statSync(file).mtimeMs;
  } catch {
    return 0;
  }
};

/** Takes changed settings; the last good ones stay in force when the new ones are wrong. */
const reloadSettings = (gateway: RunningGateway, file: string, log: GatewayLog): void => {
  const refuse = (findings: readonly string[]): void => {
    const change = { event: 'settings-refused', findings } as const;
    log.write({ level: 'error', part: 'lifecycle', change });
  };
  try {
    readSettingsFile(file).caseOf({
      Left: (findings) => refuse(findings.map(formatFinding)),
      Right: (settings) => {
        gateway.reload(settings);
        log.write({ level: 'info', part: 'lifecycle', change: { event: 'settings-reloaded' } });
      },
    });
  } catch (error) {
    refuse([String(error)]);
  }
};

const watchSettings = (gateway: RunningGateway, file: string, log: GatewayLog): void => {
  let seen = modifiedAt(file);
  const reload = (): void => {
    seen = modifiedAt(file);
    reloadSettings(gateway, file, log);
  };
  process.on('SIGHUP', reload);
  const check = (): void => {
    if (modifiedAt(file) !== seen) {
      reload();
    }
  };
  setInterval(check, SETTINGS_CHECK_MS).unref();
};

const runWithSettings = async (
  settings: GatewaySettings,
  file: string,
  protocol: GatewayProtocol,
  earlyPort: EarlyPort | undefined,
): Promise<ExitCode> => {
  const sink = openStandardOutput();
  const log = new BoundedLog({
    node: settings.node,
    level: settings.logLevel,
    sink,
    monotonicNow: () => performance.now(),
    wallNow: () => Date.now(),
  });
  const gateway = await startGateway(settings, protocol, log, earlyPort);
  watchSettings(gateway, file, log);
  process.on('SIGTERM', () => gateway.stop());
  process.on('SIGINT', () => gateway.stop());
  log.write({ level: 'info', part: 'lifecycle', change: { event: 'started' } });
  await gateway.ended;
  await sink.end();
  return ExitCode.done;
};

/**
 * Runs until the process is told to stop; returns its exit code.
 *
 * @param file - the settings file
 * @param earlyPort - the callers' port, where it was opened before the program was loaded
 */
export const runGateway = async (
  file: string,
  protocol: GatewayProtocol,
  earlyPort?: EarlyPort,
): Promise<ExitCode> => {
  try {
    const read = readSettingsFile(file);
    if (read.isLeft()) {
      const findings = read.swap().orDefault([]);
      findings.forEach((finding) => process.stderr.write(`${formatFinding(finding)}\n`));
      return ExitCode.badSettings;
    }
    return await runWithSettings(read.unsafeCoerce(), file, protocol, earlyPort);
  } catch (error) {
    process.stderr.write(`crossroad gateway: ${String(error)}\n`);
    return ExitCode.failed;
  }
};
