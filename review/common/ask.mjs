/** Sends requests of clients and records what became of them. */
import { ClientConnection } from './client.mjs';

/** Opens a connection of a client to a gateway. */
export const openClient = async (gateway) => {
  const client = new ClientConnection(gateway.connect());
  await client.opened();
  return client;
};

/** Sends one request over a connection; resolves to its outcome and when it was sent. */
export const ask = async (world, client, request) => {
  const { id } = request;
  const sentAt = world.now;
  world.record(`${id} sent`);
  const outcome = await client.send(request);
  const tookMs = Math.round(world.now - sentAt);
  const bytes = outcome.body?.length ?? outcome.bytes;
  world.record(`${id} ${outcome.type} ${outcome.status ?? ''} after ${tookMs} ms, ${bytes} bytes`);
  return { id, sentAt, outcome };
};
