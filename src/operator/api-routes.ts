/** The operators' JSON endpoints; each requires an operator key as a bearer token. */
import { Hono, type Context } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { RefusalLog } from '../auth/refusal-log.js';
import { identifier, type PartnerId } from '../core/identifiers.js';
import { EDIT_OUTCOME_STATUS } from '../operator-protocol/edit-outcome-body.js';
import { parseEditBody } from '../operator-protocol/edit-body.js';
import type { Finding } from '../table/finding.js';
import { authenticateBearer } from './authenticate-bearer.js';
import type { OperatorContext } from './operator-context.js';
import type { OperatorEnvironment } from './operator-identity.js';
import { respondWithProblem } from './problem.js';
import { readRevisions, readStatus } from './read-status.js';
import { readHistory } from './read-history.js';
import { listPartners, readTable } from './read-table.js';
import type { Submission, SubmitEdit } from './submit-edit.js';

/** Largest body of an edit, in bytes. */
export const EDIT_BODY_LIMIT = 16 * 1024 * 1024;

const MALFORMED_BODY: Finding = {
  severity: 'error',
  place: 'edit',
  problem: 'the body is not JSON',
};

const readJson = async (call: Context): Promise<{ readonly body: unknown } | undefined> => {
  try {
    return { body: await call.req.json<unknown>() };
  } catch {
    return undefined;
  }
};

const isJson = (call: Context): boolean =>
  /^application\/json\s*(;|$)/i.test(call.req.header('content-type') ?? '');

const respondWithSubmission = (call: Context, submission: Submission): Response => {
  switch (submission.type) {
    case 'outcome':
      return call.json(submission.outcome, EDIT_OUTCOME_STATUS[submission.outcome.type]);
    case 'not-own':
      return respondWithProblem(
        call,
        403,
        "Only one's own rows can be written.",
        submission.findings,
      );
    case 'busy':
      return respondWithProblem(call, 503, 'Too many edits wait here; the edit was not taken.');
  }
};

const addTableRoutes = (app: Hono<OperatorEnvironment>, context: OperatorContext): void => {
  app.get('/v1/table', (call) =>
    call.json(readTable(context.state(), call.get('identity').partner)),
  );
  app.get('/v1/table/:partner/history', async (call) => {
    const partner = identifier<PartnerId>(call.req.param('partner'));
    return listPartners(context.state()).includes(partner)
      ? call.json(await readHistory(context, partner))
      : respondWithProblem(call, 404, 'There is no such partner.');
  });
};

const addEditRoute = (app: Hono<OperatorEnvironment>, submitEdit: SubmitEdit): void => {
  const limit = bodyLimit({
    maxSize: EDIT_BODY_LIMIT,
    onError: (call) =>
      respondWithProblem(call, 413, `An edit has at most ${String(EDIT_BODY_LIMIT)} bytes.`),
  });
  app.post('/v1/edits', limit, async (call) => {
    if (!isJson(call)) {
      return respondWithProblem(call, 415, 'An edit is sent as application/json.');
    }
    const json = await readJson(call);
    if (json === undefined) {
      return respondWithProblem(call, 400, 'The edit cannot be read.', [MALFORMED_BODY]);
    }
    const parsed = parseEditBody(json.body);
    return parsed.caseOf<Promise<Response> | Response>({
      Left: (findings) => respondWithProblem(call, 422, 'The edit has findings.', findings),
      Right: async (body) =>
        respondWithSubmission(call, await submitEdit(call.get('identity'), body)),
    });
  });
};

/** Serves `/v1/table`, `/v1/edits`, `/v1/status` and `/v1/revisions`. */
export const createApiRoutes = (
  context: OperatorContext,
  submitEdit: SubmitEdit,
  logRefusal: RefusalLog,
): Hono<OperatorEnvironment> => {
  const app = new Hono<OperatorEnvironment>();
  app.use('/v1/*', authenticateBearer(context, logRefusal));
  addTableRoutes(app, context);
  addEditRoute(app, submitEdit);
  app.get('/v1/status', (call) => call.json(readStatus(context.state(), context.monotonicNow())));
  app.get('/v1/revisions', (call) => call.json(readRevisions(context.state())));
  return app;
};
