/** Checks the shape of updates about requests that crash replicas in messages between gateways. */
import {
  isCount,
  isFields,
  isFiniteNumber,
  isOptional,
  isText,
} from '../../../protocol/codec/shape.js';

type Check = (value: unknown) => boolean;

const isBlock: Check = (value) =>
  isFields(value) &&
  isCount(value['level']) &&
  isFiniteNumber(value['blockedMsAgo']) &&
  isFiniteNumber(value['trialInMs']) &&
  isOptional(value['trialLeftMs'], isFiniteNumber);

/** Returns whether a value is an update about one such request. */
export const isCrashUpdate: Check = (value) =>
  isFields(value) &&
  isText(value['fingerprint']) &&
  isCount(value['rounds']) &&
  isOptional(value['crashedMsAgo'], isFiniteNumber) &&
  isOptional(value['servedMsAgo'], isFiniteNumber) &&
  isOptional(value['answers'], isCount) &&
  isOptional(value['clearedRounds'], isCount) &&
  isOptional(value['pauseLeftMs'], isFiniteNumber) &&
  isOptional(value['trials'], isCount) &&
  isOptional(value['block'], isBlock);
