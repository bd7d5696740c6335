/** Runs a gateway as a process: settings from a file, signals, and the exit code. */
import { readFileSync, statSync } from 'node:fs';
import type { Either } from 'purify-ts/Either';
import { ExitCode } from '../../cli/exit-code.js';
import { type Finding, formatFinding } from '../../table/finding.js';
import type { GatewayProtocol } from '../protocol/protocol.js';
import { readGatewaySettings } from '../read-settings.js';
import type { GatewaySettings } from '../settings.js';
import type { EarlyPort } from './early-port.js';
import type { EarlySignals } from './early-signals.js';
import { BoundedLog } from './bounded-log.js';
import { openStandardOutput } from './line-sink.js';
import { type GatewayLog, type RunningGateway, startGateway } from './start-gateway.js';

/** Interval at which the settings file is checked for changes, in milliseconds; a signal reloads it at once. */
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

/** Applies changed settings; the last valid ones stay in force if the new ones are invalid. */
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

/** Checks the settings file for changes at intervals; returns a function that reloads it at once. */
const watchSettings = (gateway: RunningGateway, file: string, log: GatewayLog): (() => void) => {
  let seen = modifiedAt(file);
  const reload = (): void => {
    seen = modifiedAt(file);
    reloadSettings(gateway, file, log);
  };
  const check = (): void => {
    if (modifiedAt(file) !== seen) {
      reload();
    }
  };
  setInterval(check, SETTINGS_CHECK_MS).unref();
  return reload;
};

/** Inputs of a gateway process. */
export interface GatewayProcess {
  /** The settings file. */
  readonly file: string;
  readonly protocol: GatewayProtocol;
  readonly signals: EarlySignals;
  /** The callers' port, if it was opened before the program was loaded. */
  readonly earlyPort: EarlyPort | undefined;
}

const runWithSettings = async (
  settings: GatewaySettings,
  { file, protocol, signals, earlyPort }: GatewayProcess,
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
  const reload = watchSettings(gateway, file, log);
  log.write({ level: 'info', part: 'lifecycle', change: { event: 'started' } });
  signals.setHandler((action, receivedMsAgo) =>
    action === 'stop' ? gateway.stop(receivedMsAgo) : reload(),
  );
  await gateway.ended;
  await sink.end();
  return ExitCode.done;
};

/** Runs until the process is requested to stop; resolves to its exit code. */
export const runGateway = async (gatewayProcess: GatewayProcess): Promise<ExitCode> => {
  try {
    const read = readSettingsFile(gatewayProcess.file);
    if (read.isLeft()) {
      const findings = read.swap().orDefault([]);
      findings.forEach((finding) => process.stderr.write(`${formatFinding(finding)}\n`));
      return ExitCode.badSettings;
    }
    return await runWithSettings(read.unsafeCoerce(), gatewayProcess);
  } catch (error) {
    process.stderr.write(`crossroad gateway: ${String(error)}\n`);
    return ExitCode.failed;
  }
};
