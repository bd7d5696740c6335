/** Reads and writes history files: the JSON that the fuzzer writes when a promise is broken. */
import { type Either, Left, Right } from 'purify-ts';
import { type History, historySchema } from '../simulation/history/action.js';

/**
 * First byte of a history file. An event record starts with the length of a frame, which would be about
 * 2 GB with this byte.
 */
const FIRST_BYTE = '{'.charCodeAt(0);

/** Whether a file holds a history rather than an event record. */
export const isHistoryFile = (bytes: Buffer): boolean => bytes[0] === FIRST_BYTE;

/** Encodes a history as the text of a file. */
export const encodeHistory = (history: History): string => `${JSON.stringify(history, null, 2)}\n`;

const readJson = (bytes: Buffer): Either<string, unknown> => {
  try {
    return Right(JSON.parse(bytes.toString('utf8')));
  } catch (error) {
    return Left(`the file is not valid JSON: ${String(error)}`);
  }
};

/** Decodes a history file; Left describes the first problem. */
export const decodeHistory = (bytes: Buffer): Either<string, History> =>
  readJson(bytes).chain((value) => {
    const parsed = historySchema.safeParse(value);
    const [issue] = parsed.error?.issues ?? [];
    return parsed.success
      ? Right(parsed.data)
      : Left(`the file is not a valid history: ${issue?.path.join('.')}: ${issue?.message}`);
  });
