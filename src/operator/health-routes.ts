/** Health checks for the platform and metrics for Prometheus; neither requires a key. */
import { Hono } from 'hono';
import type { OperatorContext } from './operator-context.js';

const STATUS_READY = 200;
const STATUS_NOT_READY = 503;

/** Serves `/health/live`, `/health/ready` and `/metrics`. */
export const createHealthRoutes = (context: OperatorContext): Hono => {
  const app = new Hono();

  app.get('/health/live', (call) => call.json({ status: 'live' }));

  app.get('/health/ready', (call) => {
    const { phase, configuration } = context.state();
    const status = phase === 'serving' ? STATUS_READY : STATUS_NOT_READY;
    return call.json({ status: phase, revision: configuration.revision }, status);
  });

  app.get('/metrics', async (call) => {
    const { registry } = context.metrics;
    return call.body(await registry.metrics(), STATUS_READY, {
      'Content-Type': registry.contentType,
    });
  });

  return app;
};
