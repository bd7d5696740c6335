/** Reads the bodies of the platform's answers up to a length limit. */
import type { Dispatcher } from 'undici';

/** Maximum length of an answer, or of a line of a watch, in bytes. */
const MAX_STORE_ANSWER_BYTES = 64 * 1024 * 1024;

/** Reads a whole body; rejects if it is too long. */
export const readLimitedText = async (body: Dispatcher.ResponseData['body']): Promise<string> => {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > MAX_STORE_ANSWER_BYTES) {
      body.destroy();
      throw new Error(`the answer is longer than ${MAX_STORE_ANSWER_BYTES} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, length).toString('utf8');
};

/** Yields the lines of a body; rejects if a line is too long. */
export async function* readLines(body: AsyncIterable<Buffer>): AsyncGenerator<string> {
  let rest: Buffer[] = [];
  let held = 0;
  for await (const chunk of body) {
    let start = 0;
    for (let end = chunk.indexOf(10); end !== -1; end = chunk.indexOf(10, start)) {
      yield Buffer.concat([...rest, chunk.subarray(start, end)]).toString('utf8');
      rest = [];
      held = 0;
      start = end + 1;
    }
    if (start < chunk.length) {
      rest.push(chunk.subarray(start));
      held += chunk.length - start;
    }
    if (held > MAX_STORE_ANSWER_BYTES) {
      throw new Error(`a line is longer than ${MAX_STORE_ANSWER_BYTES} bytes`);
    }
  }
}
