/**
 * Handling of a posted form, shared by all pages that edit: authorization, submission of the edit
 * to the core, and the page that shows the outcome. Each outcome has the HTTP status that the JSON
 * endpoint returns for it.
 */
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import type { EditBody } from '../../operator-protocol/edit-body.js';
import { EDIT_OUTCOME_STATUS } from '../../operator-protocol/edit-outcome-body.js';
import type { EditOutcome } from '../../table/edit.js';
import type { Finding } from '../../table/finding.js';
import { readRevisions } from '../read-status.js';
import type { Markup } from './markup.js';
import {
  renderAccepted,
  renderNotApplied,
  renderUnknown,
  type OutcomePage,
} from './outcome-page.js';
import {
  respondWithPage,
  BUSY_MESSAGE,
  readForm,
  requireFormToken,
  requireSession,
  type PageCall,
  type PageResponse,
  type PageServices,
} from './page-environment.js';
import type { PagePath } from './page-frame.js';

/**
 * HTTP statuses of edits that were not passed to the core; the same as those of the JSON endpoint.
 */
const NOT_OWN_STATUS = 403;
const BUSY_STATUS = 503;

/** The parts of form handling that are specific to one page. */
export interface FormPage {
  readonly services: PageServices;
  readonly call: PageCall;
  /** Path of the page in the navigation. */
  readonly path: PagePath;
  /** Path of the page that contains the form. */
  readonly returnPath: string;
  /** Path to which the same form can be posted again. */
  readonly resendPath: string;
  /** Responds with the submitted form and its findings. */
  respondWithFindings(findings: readonly Finding[], status: ContentfulStatusCode): PageResponse;
  renderConflict(page: OutcomePage, outcome: Extract<EditOutcome, { type: 'conflict' }>): Markup;
}

/**
 * Middleware of a posted form: checks of its size and origin, of the session and of the form token.
 */
export const formMiddleware = (services: PageServices) =>
  [...readForm(services), requireSession(services), requireFormToken(services)] as const;

const respondWithOutcome = (page: FormPage, outcome: EditOutcome): PageResponse => {
  const { services, call, path, returnPath, resendPath } = page;
  const session = call.get('session');
  const status = EDIT_OUTCOME_STATUS[outcome.type];
  const shown: OutcomePage = {
    session,
    returnPath,
    revisions: readRevisions(services.context.state()),
  };
  const answer = (title: string, body: Markup): PageResponse =>
    respondWithPage(services, call, session, { title, status, body, path });
  switch (outcome.type) {
    case 'accepted':
      return answer('Saved', renderAccepted(shown, outcome));
    case 'refused':
      return page.respondWithFindings(outcome.findings, status);
    case 'conflict':
      return answer('Conflict', page.renderConflict(shown, outcome));
    case 'expired':
      return answer('Expired', renderNotApplied(shown, outcome.problem));
    case 'unknown': {
      const fields = call.get('fields');
      const body = renderUnknown({ ...shown, returnPath: resendPath }, fields, outcome.problem);
      return answer('Not known yet', body);
    }
  }
};

const respondWithBusyPage = ({ services, call, path, returnPath }: FormPage): PageResponse => {
  const session = call.get('session');
  const shown = { session, returnPath, revisions: readRevisions(services.context.state()) };
  const body = renderNotApplied(shown, BUSY_MESSAGE);
  return respondWithPage(services, call, session, {
    title: 'Busy',
    status: BUSY_STATUS,
    path,
    body,
  });
};

/** Submits an edit to the core and responds with a page that shows the outcome. */
export const submitForm = async (page: FormPage, body: EditBody): Promise<Response> => {
  const { identity } = page.call.get('session');
  const submission = await page.services.submitEdit(identity, body);
  switch (submission.type) {
    case 'outcome':
      return respondWithOutcome(page, submission.outcome);
    case 'not-own':
      return page.respondWithFindings(submission.findings, NOT_OWN_STATUS);
    case 'busy':
      return respondWithBusyPage(page);
  }
};
