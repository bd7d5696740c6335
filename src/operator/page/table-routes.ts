/** Routes of the table page: show it, and edit the rows of the operator's own partner. */
import { Hono } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import { EDIT_OUTCOME_STATUS } from '../../operator-protocol/edit-outcome-body.js';
import { listPartners, listSheetRows, readSheet } from '../read-table.js';
import type { Session } from '../session/sessions.js';
import { locateInForm, readFormEdit, type FormFinding } from './form-edit.js';
import { newEditId } from './new-edit-id.js';
import { renderConflicts } from './outcome-page.js';
import {
  respondWithPage,
  requireSession,
  type PageCall,
  type PageEnvironment,
  type PageResponse,
  type PageServices,
} from './page-environment.js';
import { createBlankRow, createFormRow, readSheetForm, type SheetForm } from './sheet-form.js';
import { formMiddleware, submitForm, type FormPage } from './submit-form.js';
import { renderTablePage, type TablePage } from './table-page.js';
import { readTableQuery, selectRows, tableAddress, type TableQuery } from './table-query.js';

const TABLE_PATH = '/table';

const readQuery = (services: PageServices, call: PageCall): TableQuery =>
  readTableQuery(
    new URL(call.req.url).searchParams,
    call.get('session').identity.partner,
    listPartners(services.context.state()),
  );

const createTablePage = (
  services: PageServices,
  session: Session,
  query: TableQuery,
): TablePage => {
  const state = services.context.state();
  const sheet = readSheet(state, query.partner);
  const selected = selectRows(listSheetRows(state, query.partner), query);
  const blankRows = Array.from({ length: query.blankRows }, createBlankRow);
  return {
    session,
    query,
    selected,
    partners: listPartners(state),
    findings: [],
    form: {
      edit: newEditId(),
      reason: '',
      seenVersion: sheet.version,
      rows: [...blankRows, ...selected.rows.map(createFormRow)],
    },
  };
};

/** A posted form with its request. */
interface PostedForm {
  readonly services: PageServices;
  readonly call: PageCall;
  readonly session: Session;
  readonly query: TableQuery;
  readonly form: SheetForm;
}

const respondWithTable = (
  posted: PostedForm,
  status: ContentfulStatusCode,
  extra: { readonly notice?: string; readonly findings?: readonly FormFinding[] },
): PageResponse => {
  const page = createTablePage(posted.services, posted.session, posted.query);
  return respondWithPage(posted.services, posted.call, posted.session, {
    title: 'Table',
    path: TABLE_PATH,
    status,
    body: renderTablePage({ ...page, form: posted.form, ...extra }),
  });
};

const createFormPage = (posted: PostedForm): FormPage => {
  const { services, call, form, query } = posted;
  const address = tableAddress(query, { blankRows: 0 });
  return {
    services,
    call,
    path: TABLE_PATH,
    returnPath: address,
    resendPath: address,
    respondWithFindings: (findings, status) =>
      respondWithTable(posted, status, { findings: locateInForm(form, findings) }),
    renderConflict: (page, outcome) => renderConflicts(page, form, outcome, newEditId()),
  };
};

const handleTableForm = (services: PageServices, call: PageCall): PageResponse => {
  const session = call.get('session');
  const form = readSheetForm(call.get('fields'));
  const query = readQuery(services, call);
  const posted: PostedForm = { services, call, session, query, form };
  return readFormEdit(session.identity.partner, form).caseOf<PageResponse>({
    Left: (findings) => respondWithTable(posted, EDIT_OUTCOME_STATUS.refused, { findings }),
    Right: (body) =>
      body === undefined
        ? respondWithTable(posted, 200, { notice: 'Nothing was changed, so no edit was sent.' })
        : submitForm(createFormPage(posted), body),
  });
};

/** Serves `/table`. */
export const createTableRoutes = (services: PageServices): Hono<PageEnvironment> => {
  const app = new Hono<PageEnvironment>();
  app.get(TABLE_PATH, requireSession(services), (call) => {
    const session = call.get('session');
    const page = createTablePage(services, session, readQuery(services, call));
    const body = renderTablePage(page);
    return respondWithPage(services, call, session, { title: 'Table', path: TABLE_PATH, body });
  });
  app.post(TABLE_PATH, ...formMiddleware(services), (call) => handleTableForm(services, call));
  return app;
};
