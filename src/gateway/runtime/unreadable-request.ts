/** What a caller sent that is no request, as Node's HTTP server reports it, and the answer to it. */
import { STATUS_CODES } from 'node:http';
import type { UnreadableProblem } from '../model/request.js';

/** Why a request cannot be read, and the status by which it is refused. */
export interface UnreadableRequest {
  readonly problem: UnreadableProblem;
  readonly status: number;
  /** Code of the error, for the log. */
  readonly detail: string;
}

type ProblemAndStatus = Pick<UnreadableRequest, 'problem' | 'status'>;

const MALFORMED: ProblemAndStatus = { problem: 'malformed', status: 400 };

/** Codes of Node's HTTP server (`clientError`) that say more than that the bytes are no request. */
const BY_CODE: Readonly<Record<string, ProblemAndStatus>> = {
  HPE_INVALID_EOF_STATE: { problem: 'cut-off', status: 400 },
  ERR_HTTP_REQUEST_TIMEOUT: { problem: 'headers-late', status: 408 },
  HPE_CHUNK_EXTENSIONS_OVERFLOW: { problem: 'chunk-extensions-too-large', status: 413 },
  HPE_HEADER_OVERFLOW: { problem: 'headers-too-large', status: 431 },
};

/** Begins the codes of the parser's errors; all others are the socket's. */
const PARSER_CODE = 'HPE_';

/** Describes an error of a connection; undefined where the connection itself broke. */
export const describeUnreadable = (code = ''): UnreadableRequest | undefined => {
  const known = BY_CODE[code] ?? (code.startsWith(PARSER_CODE) ? MALFORMED : undefined);
  return known === undefined ? undefined : { ...known, detail: code };
};

/** The last answer on a connection. */
export const formatUnreadable = ({ status }: UnreadableRequest): string => {
  const line = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`;
  return `${line}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`;
};
