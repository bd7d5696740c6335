/** Tells answers that are malformed from connections that failed. */

/** Name of the parser's errors, and its reason when a connection ends in the middle of an answer. */
const PARSER_ERROR = 'HTTPParserError';
const CUT_OFF_REASON = 'Invalid EOF state';

/** Code of the client's error for a head that is too large. */
const HEAD_OVERFLOW_CODE = 'UND_ERR_HEADERS_OVERFLOW';

/** Messages of the client's socket errors for an answer that it does not accept. */
const UNACCEPTED_ANSWERS: ReadonlySet<string> = new Set(['bad response', 'bad upgrade']);

/** Whether the bytes received are no answer, as opposed to a connection that failed. */
export const isMalformed = ({ name, code, message }: NodeJS.ErrnoException): boolean => {
  const isParserError = name === PARSER_ERROR && !message.includes(CUT_OFF_REASON);
  return isParserError || code === HEAD_OVERFLOW_CODE || UNACCEPTED_ANSWERS.has(message);
};
