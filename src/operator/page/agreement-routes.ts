/** Routes of the agreement page: show it, propose shares, approve a proposal. */
import { Hono } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import { parseEditBody } from '../../operator-protocol/edit-body.js';
import { EDIT_OUTCOME_STATUS } from '../../operator-protocol/edit-outcome-body.js';
import type { Finding } from '../../table/finding.js';
import { listPartners, readAgreement } from '../read-table.js';
import { renderAgreementPage, shareFieldName } from './agreement-page.js';
import { newEditId } from './new-edit-id.js';
import { renderNotApplied } from './outcome-page.js';
import {
  respondWithPage,
  requireSession,
  type PageCall,
  type PageEnvironment,
  type PageResponse,
  type PageServices,
} from './page-environment.js';
import { formMiddleware, submitForm, type FormPage } from './submit-form.js';

const AGREEMENT_PATH = '/agreement';
const PERCENT = 100;

const CONFLICT_MESSAGE =
  'Nothing was changed: the agreement was changed after this page was loaded.';

const respondWithAgreement = (
  services: PageServices,
  call: PageCall,
  findings: readonly Finding[],
  status: ContentfulStatusCode,
): PageResponse => {
  const session = call.get('session');
  const state = services.context.state();
  return respondWithPage(services, call, session, {
    title: 'Agreement',
    path: AGREEMENT_PATH,
    status,
    body: renderAgreementPage({
      session,
      partners: listPartners(state),
      agreement: readAgreement(state),
      newEditId,
      findings,
    }),
  });
};

const createFormPage = (services: PageServices, call: PageCall): FormPage => ({
  services,
  call,
  path: AGREEMENT_PATH,
  returnPath: AGREEMENT_PATH,
  resendPath: call.req.path,
  respondWithFindings: (findings, status) => respondWithAgreement(services, call, findings, status),
  renderConflict: (page) => renderNotApplied(page, CONFLICT_MESSAGE),
});

const submitAction = (services: PageServices, call: PageCall, action: unknown): PageResponse => {
  const fields = call.get('fields');
  const page = createFormPage(services, call);
  const body = {
    edit: fields.get('edit') ?? '',
    reason: fields.get('reason') ?? '',
    seenVersion: Number(fields.get('seen-version') ?? ''),
    action,
  };
  return parseEditBody(body).caseOf<PageResponse>({
    Left: (findings) => page.respondWithFindings(findings, EDIT_OUTCOME_STATUS.refused),
    Right: (parsed) => submitForm(page, parsed),
  });
};

const readShares = (services: PageServices, fields: URLSearchParams): unknown =>
  listPartners(services.context.state()).map((partner) => {
    const text = (fields.get(shareFieldName(partner)) ?? '').trim();
    return { partner, share: text === '' ? Number.NaN : Number(text) / PERCENT };
  });

const parseShares = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Serves `/agreement`. */
export const createAgreementRoutes = (services: PageServices): Hono<PageEnvironment> => {
  const app = new Hono<PageEnvironment>();
  const guards = formMiddleware(services);

  app.get('/agreement', requireSession(services), (call) =>
    respondWithAgreement(services, call, [], 200),
  );

  app.post('/agreement/proposals', ...guards, (call) => {
    const fields = call.get('fields');
    const proposal = fields.get('edit') ?? '';
    const shares = readShares(services, fields);
    return submitAction(services, call, { type: 'propose-agreement', proposal, shares });
  });

  app.post('/agreement/approvals', ...guards, (call) => {
    const fields = call.get('fields');
    const proposal = fields.get('proposal') ?? '';
    const shares = parseShares(fields.get('shares') ?? '');
    return submitAction(services, call, { type: 'approve-agreement', proposal, shares });
  });

  return app;
};
