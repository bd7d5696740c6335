/**
 * The unanswered requests of each connection. Answers are sent in the order of the requests, and nothing follows an answer that
 * closes its connection (RFC 9112, section 9.6).
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Keeps the answers that are due on each connection, in the order of the requests. */
export class OpenAnswers {
  private readonly bySocket = new WeakMap<Socket, Set<ServerResponse>>();
  private readonly ending = new WeakSet<Socket>();

  /**
   * Adds the answer to a request that has just been read.
   *
   * @param closes - whether it closes the connection, unless another request is read before it is sent
   */
  add(outgoing: ServerResponse, closes: boolean): void {
    const { socket } = outgoing.req;
    const answers = this.bySocket.get(socket) ?? new Set<ServerResponse>();
    this.bySocket.set(socket, answers);
    for (const earlier of answers) {
      if (!earlier.headersSent) {
        earlier.removeHeader('connection');
      }
    }
    answers.add(outgoing);
    outgoing.once('close', () => answers.delete(outgoing));
    if (closes) {
      outgoing.setHeader('connection', 'close');
    }
  }

  /** Calls `send` when all answers that are due on a connection have been sent; without effect if called before for it. */
  afterAnswers(socket: Socket, send: () => void): void {
    if (this.ending.has(socket)) {
      return;
    }
    this.ending.add(socket);
    const last = [...(this.bySocket.get(socket) ?? [])].findLast(({ req }) => req.complete);
    if (last === undefined) {
      send();
    } else {
      last.once('close', send);
    }
  }
}
