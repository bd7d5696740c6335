/** Paths of requests: the prefix of a route, then the work that the request is, in milliseconds. */

/** Work of a path that says nothing, in milliseconds. */
const DEFAULT_WORK_MS = 2;

const WORK_PATTERN = /^\/[^/]+\/(\d+)\//;

/** The path of a request of so much work. */
export const pathOf = (prefix: string, workMs: number, id: string): string =>
  `${prefix}${workMs}/${id}?part=${id.length}`;

const POISON_PATTERN = /\/lethal-\d+$/;

/** The path of a request that ends each replica that begins to run it; each of its tries has the same. */
export const poisonPathOf = (prefix: string, number: number): string =>
  `${prefix}${DEFAULT_WORK_MS}/lethal-${number}`;

/** Whether replicas end under the request for a path. */
export const isPoison = (path: string): boolean => POISON_PATTERN.test(path);

/** Work of the request for a path, in milliseconds. */
export const workOf = (path: string): number =>
  Number(WORK_PATTERN.exec(path)?.[1] ?? DEFAULT_WORK_MS);
