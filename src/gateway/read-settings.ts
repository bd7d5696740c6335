/** Reads a gateway's settings from JSON, and reports all findings together. */
import { type Either, Left } from 'purify-ts/Either';
import type { HostPort } from '../settings/node-settings.js';
import { HOST_PORT_FORMAT, parseHostPort } from '../settings/parse-host-port.js';
import { LOG_LEVELS, type LogLevel } from '../settings/log-level.js';
import type { Finding } from '../table/finding.js';
import { FieldReader } from './field-reader.js';
import type { GatewayBounds, GatewaySettings } from './settings.js';

const MS_PER_SECOND = 1_000;

const readAddress = (fields: FieldReader, name: string, text: string): HostPort =>
  parseHostPort(text).caseOf({
    Left: (problem) => {
      fields.report(name, problem, HOST_PORT_FORMAT);
      return { host: '', port: 0 };
    },
    Right: (address) => address,
  });

const readAddressField = (fields: FieldReader, name: string): HostPort =>
  readAddress(fields, name, fields.text(name));

const readBounds = (fields: FieldReader): GatewayBounds => ({
  drainMs: fields.number('drainMs', 0),
  graceMs: fields.number('graceSeconds', 0) * MS_PER_SECOND,
  configurationMs: fields.number('configurationMs', 0),
  ...(fields.has('evacuationMs') && { evacuationMs: fields.number('evacuationMs', 0) }),
  ...(fields.has('replicaHeartbeatMs') && {
    replicaHeartbeatMs: fields.number('replicaHeartbeatMs', 0),
  }),
  ...(fields.has('coldOvershoot') && { coldOvershoot: fields.number('coldOvershoot', 1) }),
  ...(fields.has('coldSlack') && { coldSlack: fields.number('coldSlack', 0) }),
  ...(fields.has('keyRevocationMs') && { keyRevocationMs: fields.number('keyRevocationMs', 1) }),
  ...(fields.has('quotaWindowSeconds') && {
    quotaWindowMs: fields.number('quotaWindowSeconds', 0) * MS_PER_SECOND,
  }),
  ...(fields.has('quotaOvershoot') && { quotaOvershoot: fields.number('quotaOvershoot', 0) }),
  ...(fields.has('quotaSlack') && { quotaSlack: fields.number('quotaSlack', 0) }),
  retryRatio: fields.number('retryRatio', 0),
  retryWindowMs: fields.number('retryWindowSeconds', 0) * MS_PER_SECOND,
  retrySlack: fields.number('retrySlack', 0),
});

const readZoneRegions = (fields: FieldReader): Readonly<Record<string, string>> => {
  const regions = fields.raw('zoneRegions');
  if (typeof regions !== 'object' || regions === null) {
    fields.report('zoneRegions', 'is not an object', 'an object that maps each zone to its region');
    return {};
  }
  return Object.fromEntries(
    Object.entries(regions).map(([zone, region]) => [zone, String(region)]),
  );
};

const readLogLevel = (fields: FieldReader): LogLevel => {
  const text = fields.text('logLevel', 'info');
  const level = LOG_LEVELS.find((each) => each === text);
  if (level === undefined) {
    fields.report('logLevel', 'is not a log level', LOG_LEVELS.join(', '));
  }
  return level ?? 'info';
};

const readFields = (fields: FieldReader): GatewaySettings => ({
  node: fields.text('node'),
  zone: fields.text('zone'),
  capacity: fields.number('processorShare', 0, 1) * fields.number('processorSpeed', 0, 1),
  ...(fields.has('memoryMb') && { memoryMb: fields.number('memoryMb', 1) }),
  firstStart: fields.flag('firstStart', false),
  zoneRegions: readZoneRegions(fields),
  callers: readAddressField(fields, 'callers'),
  readiness: readAddressField(fields, 'readiness'),
  ...(fields.has('metrics') && { metrics: readAddressField(fields, 'metrics') }),
  peers: readAddressField(fields, 'peers'),
  seeds: fields.texts('seeds').map((text, index) => readAddress(fields, `seeds[${index}]`, text)),
  store: readAddressField(fields, 'store'),
  bounds: readBounds(fields.object('bounds')),
  logLevel: readLogLevel(fields),
});

/** Parses the text of the settings file `fileName`; returns all findings if a setting is missing or invalid. */
export const readGatewaySettings = (
  fileName: string,
  text: string,
): Either<readonly Finding[], GatewaySettings> => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const problem = `is not JSON: ${error instanceof Error ? error.message : String(error)}`;
    return Left([{ severity: 'error', place: fileName, problem }]);
  }
  const fields = new FieldReader(value, fileName);
  return fields.result(readFields(fields));
};
