/** Paths of requests: the prefix of a route, followed by the processing time in milliseconds. */

/** Processing time of a path that states none, in milliseconds. */
const DEFAULT_WORK_MS = 2;

const WORK_PATTERN = /^\/[^/]+\/(\d+)\//;

/** Returns the path of a request with a processing time of `workMs` milliseconds. */
export const pathOf = (prefix: string, workMs: number, id: string): string =>
  `${prefix}${workMs}/${id}?part=${id.length}`;

const POISON_PATTERN = /\/lethal-\d+$/;

/** Returns the path of a poison request; all of its attempts use the same one. */
export const poisonPathOf = (prefix: string, number: number): string =>
  `${prefix}${DEFAULT_WORK_MS}/lethal-${number}`;

/** Whether the request for a path is a poison request. */
export const isPoison = (path: string): boolean => POISON_PATTERN.test(path);

/** Returns the processing time of the request for a path, in milliseconds. */
export const workOf = (path: string): number =>
  Number(WORK_PATTERN.exec(path)?.[1] ?? DEFAULT_WORK_MS);
