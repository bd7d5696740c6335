/** Ids of edits made on the web page. */
import { randomUUID } from 'node:crypto';

/** Creates the edit id of a form; a form that is sent again keeps it and is the same edit. */
export const newEditId = (): string => `page-${randomUUID()}`;
