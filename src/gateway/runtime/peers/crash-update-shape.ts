/** The shape of what gateways tell of requests under which replicas have ended, as it lies in messages. */
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

/** Whether a value tells of one such request. */
export const isCrashUpdate: Check = (value) =>
  isFields(value) &&
  isText(value['fingerprint']) &&
  isCount(value['rounds']) &&
  isOptional(value['crashedMsAgo'], isFiniteNumber) &&
  isOptional(value['servedMsAgo'], isFiniteNumber) &&
  isOptional(value['pauseLeftMs'], isFiniteNumber) &&
  isOptional(value['block'], isBlock);
