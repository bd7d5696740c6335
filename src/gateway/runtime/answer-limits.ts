/** Limits on what is read of an answer before its body, around it and in its place. */

/** Maximum size of an answer's body, in bytes. */
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/**
 * Maximum size of the body of an answer of the store, in bytes. A page has 1 MB or one object; a watch whose changes are larger
 * fails, and pages are read in its place. Reading an answer of this size takes a fraction of a second.
 */
export const MAX_STORE_ANSWER_BYTES = 4 * 1024 * 1024;

/** Answers with a lower status are interim ones. */
const FIRST_FINAL_STATUS = 200;

/** Most interim answers before the final one. */
const MAX_INTERIM_ANSWERS = 16;

/** Counts the interim answers (1xx) before the final one. */
export class InterimAnswers {
  private count = 0;

  /** Counts an answer if it is an interim one; returns whether there are too many. */
  exceedsWith(status: number): boolean {
    this.count += Number(status < FIRST_FINAL_STATUS);
    return this.count > MAX_INTERIM_ANSWERS;
  }
}

/** Bytes of heads and framing that are read in addition to as many as the body has, in bytes; the parser allows heads of 16 KB. */
const MAX_OVERHEAD_BYTES = 65_536;

/**
 * Whether an answer has too many bytes outside of its body. The parser limits the size of a head, but not the number of interim
 * answers and empty lines, the length of a status text, or that of chunk extensions.
 *
 * @param receivedBytes - bytes received since the request was sent
 * @param bodyBytes - bytes of the body among them
 */
export const exceedsOverhead = (receivedBytes: number, bodyBytes: number): boolean =>
  receivedBytes - bodyBytes > MAX_OVERHEAD_BYTES + bodyBytes;

/** Number of chunks from which their mean size is limited, and the smallest mean size, in bytes. */
const MIN_LIMITED_CHUNKS = 1_024;
const MIN_MEAN_CHUNK_BYTES = 8;

/** Whether a body arrives in so small chunks that parsing it would take too much time. */
export const isFragmented = (chunks: number, bytes: number): boolean =>
  chunks >= MIN_LIMITED_CHUNKS && bytes < chunks * MIN_MEAN_CHUNK_BYTES;

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
