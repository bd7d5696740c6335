/** The text of a settings file, as the template makes it. */
import type { GatewaySettings } from '../../src/gateway/settings.js';
import { formatHostPort } from '../../src/settings/parse-host-port.js';

/** Variable that names the settings file to a process. */
export const SETTINGS_VARIABLE = 'CROSSROAD_BOOT';

/** Formats settings as a file. */
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
    },
  });
