/** Routes of the read-only pages: history, revisions in force, live figures. */
import { Hono } from 'hono';
import { html } from 'hono/html';
import { identifier, type PartnerId } from '../../core/identifiers.js';
import { readHistory } from '../read-history.js';
import { readRevisions, readStatus } from '../read-status.js';
import { listPartners } from '../read-table.js';
import { renderFigureRows, renderFiguresPage } from './figures-page.js';
import { renderHistoryPage } from './history-page.js';
import { renderInForcePage } from './in-force-page.js';
import { describeNodesInForce } from './node-list.js';
import {
  respondWithPage,
  requireSession,
  type PageEnvironment,
  type PageServices,
} from './page-environment.js';

const readPositive = (text: string | undefined, fallback: number): number => {
  const value = Number(text ?? '');
  return Number.isSafeInteger(value) && value >= 1 ? value : fallback;
};

/** Serves `/history`, `/in-force`, `/figures` and the fragments that the page's script reloads. */
export const createViewRoutes = (services: PageServices): Hono<PageEnvironment> => {
  const app = new Hono<PageEnvironment>();
  const { context } = services;
  const signedIn = requireSession(services);

  app.get('/history', signedIn, async (call) => {
    const session = call.get('session');
    const partners = listPartners(context.state());
    const asked = identifier<PartnerId>(call.req.query('partner') ?? '');
    const partner = partners.includes(asked) ? asked : session.identity.partner;
    const history = await readHistory(context, partner);
    const body = renderHistoryPage(partners, history, readPositive(call.req.query('page'), 1));
    return respondWithPage(services, call, session, { title: 'History', path: '/history', body });
  });

  app.get('/in-force', signedIn, (call) => {
    const status = readStatus(context.state(), context.monotonicNow());
    const revision = readPositive(call.req.query('revision'), status.revision);
    const body = renderInForcePage(status, revision);
    const title = 'In force';
    return respondWithPage(services, call, call.get('session'), { title, path: '/in-force', body });
  });

  app.get('/in-force/spread', signedIn, (call) => {
    const revisions = readRevisions(context.state());
    const revision = readPositive(call.req.query('revision'), revisions.revision);
    return call.html(html`${describeNodesInForce(revisions, revision)}`);
  });

  app.get('/figures', signedIn, (call) => {
    const figures = context.metrics.answers.readFigures();
    const body = renderFiguresPage(figures, context.state().self.node);
    const title = 'Figures';
    return respondWithPage(services, call, call.get('session'), { title, path: '/figures', body });
  });

  app.get('/figures/rows', signedIn, (call) =>
    call.html(renderFigureRows(context.metrics.answers.readFigures())),
  );

  return app;
};
