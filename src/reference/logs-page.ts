/** The reference page of a gateway's log events, from their descriptions in the code. */
import {
  STATE_CHANGE_DESCRIPTIONS,
  DECISION_DESCRIPTIONS,
} from '../gateway/log/log-descriptions.js';
import { formatHead, formatTable, type ReferencePage } from './reference-page.js';

const formatEvents = (descriptions: Readonly<Record<string, string>>): string =>
  formatTable(
    ['event', 'meaning'],
    Object.entries(descriptions).map(([event, description]) => [`\`${event}\``, description]),
  );

/** Creates the page of all events that a gateway logs. */
export const createLogsPage = (): ReferencePage => ({
  fileName: 'logs.md',
  text: `${formatHead('Logs of a gateway', 'src/gateway/log')}
One JSON object per line on standard output, with \`time\` (milliseconds since the epoch), \`node\`, \`level\`,
\`part\` and \`event\`. The other fields are typed in \`src/gateway/log/log-event.ts\`.

## Decisions about a request

Each line has \`requestId\` and \`agoMs\`. The lines of a request are written when it ends; \`agoMs\` is the time
from the decision to that moment. All decisions are logged for requests that failed, were late or partial,
or whose callers closed the connection, and for one in 64 of the others, chosen by the request identifier and
therefore the same on all gateways. At most 100 lines per second are written on average and 600 in a burst;
\`lines-dropped\` counts the rest.

${formatEvents(DECISION_DESCRIPTIONS)}

## Changes of a gateway's state

${formatEvents(STATE_CHANGE_DESCRIPTIONS)}
`,
});
