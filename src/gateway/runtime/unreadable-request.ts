/** Classifies malformed input from callers, as reported by Node's HTTP server, and formats the answer. */
import { STATUS_CODES } from 'node:http';
import type { UnreadableProblem } from '../model/request.js';

/** Why a request cannot be parsed, and the status with which it is refused. */
export interface UnreadableRequest {
  readonly problem: UnreadableProblem;
  readonly status: number;
  /** Error code, for the log. */
  readonly detail: string;
}

type ProblemAndStatus = Pick<UnreadableRequest, 'problem' | 'status'>;

const MALFORMED: ProblemAndStatus = { problem: 'malformed', status: 400 };

/** A request for a tunnel (RFC 9110, section 9.3.6). */
export const CONNECT_REQUEST: UnreadableRequest = {
  ...MALFORMED,
  status: 501,
  detail: 'CONNECT',
};

/** Error codes of Node's HTTP server (`clientError`) that identify a specific problem. */
const BY_CODE: Readonly<Record<string, ProblemAndStatus>> = {
  HPE_INVALID_EOF_STATE: { problem: 'cut-off', status: 400 },
  ERR_HTTP_REQUEST_TIMEOUT: { problem: 'headers-late', status: 408 },
  HPE_CHUNK_EXTENSIONS_OVERFLOW: { problem: 'chunk-extensions-too-large', status: 413 },
  HPE_HEADER_OVERFLOW: { problem: 'headers-too-large', status: 431 },
};

/** Prefix of the parser's error codes; all other codes are those of the socket. */
const PARSER_CODE = 'HPE_';

/** Describes an error of a connection; undefined if the connection itself failed. */
export const describeUnreadable = (code = ''): UnreadableRequest | undefined => {
  const known = BY_CODE[code] ?? (code.startsWith(PARSER_CODE) ? MALFORMED : undefined);
  return known === undefined ? undefined : { ...known, detail: code };
};

/** Formats the refusal, which is the last answer on its connection. */
export const formatUnreadable = ({ status }: UnreadableRequest): string => {
  const line = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`;
  return `${line}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`;
};
