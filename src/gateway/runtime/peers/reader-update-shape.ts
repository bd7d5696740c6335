/** Checks the shapes of reader updates in messages: configurations, replicas, gateways and evacuations. */
import {
  type Fields,
  isCount,
  isFields,
  isFiniteNumber,
  isListOf,
  isOptional,
  isText,
} from '../../../protocol/codec/shape.js';

type Check = (value: unknown) => boolean;

const isFlag: Check = (value) => typeof value === 'boolean';

const hasTexts = (fields: Fields, names: readonly string[]): boolean =>
  names.every((name) => isText(fields[name]));

const hasNumbers = (fields: Fields, names: readonly string[]): boolean =>
  names.every((name) => isFiniteNumber(fields[name]));

const isTexts: Check = (value) => isListOf(value, isText);

const isSplitPart: Check = (value) =>
  isFields(value) && isText(value['service']) && isFiniteNumber(value['weight']);

const isTarget: Check = (value) => {
  if (!isFields(value)) {
    return false;
  }
  switch (value['type']) {
    case 'service':
      return isText(value['service']);
    case 'split':
      return isListOf(value['parts'], isSplitPart);
    case 'gather':
      return isListOf(value['shards'], isText) && hasNumbers(value, ['maxRecords', 'minCoverage']);
    default:
      return false;
  }
};

const isRoute: Check = (value) =>
  isFields(value) &&
  hasTexts(value, ['name', 'host', 'pathPrefix']) &&
  isFlag(value['repeatable']) &&
  hasNumbers(value, ['timeoutMs', 'objectiveMs', 'maxAttempts', 'priority']) &&
  isOptional(value['allowedRegions'], isTexts) &&
  isOptional(value['anonymous'], isFlag) &&
  isTarget(value['target']);

const isService: Check = (value) =>
  isFields(value) &&
  isText(value['name']) &&
  isFiniteNumber(value['maxConnections']) &&
  isOptional(value['coldRequestsPerSecond'], isFiniteNumber);

const isTenantLimit: Check = (value) =>
  isFields(value) && hasNumbers(value, ['ratePerSecond', 'burst']);

const isTenant: Check = (value) =>
  isFields(value) &&
  isText(value['name']) &&
  isTexts(value['keyDigests']) &&
  isOptional(value['priority'], isFiniteNumber) &&
  isOptional(value['limit'], isTenantLimit) &&
  isOptional(value['allowedRegions'], isTexts);

/** Services are a map by name, both in memory and in CBOR. */
const isServices: Check = (value) =>
  value instanceof Map && [...value].every(([name, service]) => isText(name) && isService(service));

const isLimits: Check = (value) =>
  isFields(value) &&
  hasNumbers(value, ['maxHeaderBytes', 'maxBodyBytes', 'headerTimeoutMs', 'idleTimeoutMs']);

/** Returns whether a value is a configuration. */
export const isConfiguration: Check = (value) =>
  isFields(value) &&
  isFiniteNumber(value['version']) &&
  isListOf(value['routes'], isRoute) &&
  isServices(value['services']) &&
  isLimits(value['limits']) &&
  isOptional(value['tenants'], (tenants) => isListOf(tenants, isTenant));

const isReplica: Check = (value) =>
  isFields(value) &&
  hasTexts(value, ['id', 'service', 'host', 'zone']) &&
  hasNumbers(value, ['port', 'slots', 'coldMs']) &&
  isOptional(value['coldLeftMs'], isFiniteNumber) &&
  isOptional(value['bornAt'], isFiniteNumber) &&
  isFlag(value['draining']);

const isAddress: Check = (value) =>
  isFields(value) && isText(value['host']) && isCount(value['port']);

const isSuspect: Check = (value) =>
  isFields(value) && isText(value['fingerprint']) && isCount(value['rounds']);

const isGateway: Check = (value) =>
  isFields(value) &&
  hasTexts(value, ['name', 'zone']) &&
  isAddress(value['address']) &&
  isFiniteNumber(value['capacity']) &&
  isOptional(value['suspects'], (suspects) => isListOf(suspects, isSuspect));

const isEvacuation: Check = (value) => isFields(value) && isText(value['zone']);

const VALUE_CHECKS: Readonly<Record<string, Check>> = {
  configuration: isConfiguration,
  replicas: isReplica,
  gateways: isGateway,
  evacuations: isEvacuation,
};

const isObjectWith =
  (isValue: Check): Check =>
  (object) =>
    isFields(object) &&
    isText(object['name']) &&
    isFlag(object['gone']) &&
    isOptional(object['value'], isValue);

const hasObjects = ({ collection, objects }: Fields): boolean => {
  const check =
    isText(collection) && Object.hasOwn(VALUE_CHECKS, collection)
      ? VALUE_CHECKS[collection]
      : undefined;
  return check !== undefined && isListOf(objects, isObjectWith(check));
};

const hasEra = ({ era, eraAgeMs }: Fields): boolean =>
  isOptional(era, isFiniteNumber) && isOptional(eraAgeMs, isFiniteNumber);

/** Returns whether a value is an update from a reader. */
export const isReaderUpdate: Check = (value) => {
  if (!isFields(value)) {
    return false;
  }
  switch (value['type']) {
    case 'status':
      return (
        isFlag(value['isCurrent']) &&
        isOptional(value['confirmedMsAgo'], isFiniteNumber) &&
        isOptional(value['version'], isFiniteNumber)
      );
    case 'snapshot':
      return (
        hasObjects(value) &&
        hasEra(value) &&
        isFiniteNumber(value['revision']) &&
        isOptional(value['awaited'], isTexts)
      );
    case 'changes':
      return (
        hasObjects(value) &&
        hasEra(value) &&
        hasNumbers(value, ['revision', 'after']) &&
        isOptional(value['afterEra'], isFiniteNumber)
      );
    default:
      return false;
  }
};
