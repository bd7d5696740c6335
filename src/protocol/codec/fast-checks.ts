/**
 * Fast checks of the long lists of a sheet: its rows and its history. They accept lists whose elements
 * all have the usual shape. Other lists are checked by the schema, which reports the problem.
 */
import {
  type Fields,
  isCount,
  isFields,
  isFiniteNumber,
  isListOf,
  isOptional,
  isText,
} from './shape.js';

const isShare = (value: unknown): boolean => isFiniteNumber(value) && value >= 0 && value <= 1;

const isPositive = (value: unknown): boolean => isFiniteNumber(value) && value > 0;

const isLimit = (value: unknown): boolean => isFiniteNumber(value) && value >= 0;

const isFlag = (value: unknown): boolean => value === true || value === false;

const hasNames = (row: Fields): boolean =>
  isText(row['partner']) && isText(row['route']) && isText(row['kind']);

const hasChoices = (row: Fields): boolean =>
  (row['fanOut'] === 'all' || row['fanOut'] === 'key') &&
  (row['merge'] === 'concatenate' || row['merge'] === 'top' || row['merge'] === 'sum') &&
  (row['snapshotPolicy'] === 'covered' || row['snapshotPolicy'] === 'newest');

const hasNumbers = (row: Fields): boolean =>
  isCount(row['maxItems']) &&
  isPositive(row['weight']) &&
  isPositive(row['deadlineMs']) &&
  isShare(row['coverage']) &&
  isShare(row['extraLoadLimit']) &&
  isOptional(row['concurrentLimit'], isLimit) &&
  isOptional(row['perSecondLimit'], isLimit);

const isRow = (value: unknown): boolean =>
  isFields(value) &&
  hasNames(value) &&
  isListOf(value['services'], isText) &&
  hasChoices(value) &&
  hasNumbers(value) &&
  isFlag(value['safeToRepeat']) &&
  isFlag(value['hedging']);

const isSheetRow = (value: unknown): boolean =>
  isFields(value) &&
  isRow(value['row']) &&
  isCount(value['rowVersion']) &&
  isText(value['writtenBy']);

const isRecord = (value: unknown): boolean =>
  isFields(value) &&
  isText(value['edit']) &&
  isText(value['operator']) &&
  isFiniteNumber(value['writtenAt']) &&
  isText(value['reason']) &&
  isListOf(value['rows'], isText) &&
  isOptional(value['moreRows'], isCount) &&
  isCount(value['digest']) &&
  isCount(value['sheetVersion']);

/** True for a list of rows with versions and writers, all of the usual shape. */
export const isUsualRowList = (value: unknown): boolean => isListOf(value, isSheetRow);

/** True for a list of records of edits, all of the usual shape. */
export const isUsualHistory = (value: unknown): boolean => isListOf(value, isRecord);
