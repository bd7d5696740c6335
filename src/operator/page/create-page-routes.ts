/** All routes of the operators' web page. */
import { Hono } from 'hono';
import { createAgreementRoutes } from './agreement-routes.js';
import { createAssetRoutes } from './asset-routes.js';
import type { PageServices } from './page-environment.js';
import { createSessionRoutes } from './session-routes.js';
import { createTableRoutes } from './table-routes.js';
import { createViewRoutes } from './view-routes.js';

const SEE_OTHER = 303;

/** Serves the web page. */
export const createPageRoutes = (services: PageServices): Hono => {
  const app = new Hono();
  app.get('/', (call) => call.redirect('/table', SEE_OTHER));
  app.route('/', createAssetRoutes());
  app.route('/', createSessionRoutes(services));
  app.route('/', createTableRoutes(services));
  app.route('/', createAgreementRoutes(services));
  app.route('/', createViewRoutes(services));
  return app;
};
