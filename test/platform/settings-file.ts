/** Formats settings files as the template produces them. */
import type { GatewaySettings } from '../../src/gateway/settings.js';
import { formatHostPort } from '../../src/settings/parse-host-port.js';

/** Environment variable with the path of the settings file. */
export const SETTINGS_VARIABLE = 'CROSSROAD_BOOT';

/** Returns the text of a settings file. */
export const settingsFileOf = ({ bounds, ...settings }: GatewaySettings): string =>
  JSON.stringify({
    ...settings,
    callers: formatHostPort(settings.callers),
    readiness: formatHostPort(settings.readiness),
    ...(settings.metrics !== undefined && { metrics: formatHostPort(settings.metrics) }),
    peers: formatHostPort(settings.peers),
    store: formatHostPort(settings.store),
    bounds: {
      ...bounds,
      graceSeconds: bounds.graceMs / 1_000,
      retryWindowSeconds: bounds.retryWindowMs / 1_000,
      ...(bounds.quotaWindowMs !== undefined && {
        quotaWindowSeconds: bounds.quotaWindowMs / 1_000,
      }),
    },
  });
