/**
 * The handshake of a link. Both sides prove that they have the shared secret before either accepts
 * messages:
 *
 *     connector -> acceptor   hello      protocol, from, to, nonce
 *     acceptor  -> connector  challenge  nonce, proof over both nonces and both names
 *     connector -> acceptor   proof      over the same values, with another label
 *
 * The labels prevent a reflected proof from being accepted; the names prevent its use with another node.
 */
import { randomBytes } from 'node:crypto';
import { type Either, Left, Right } from 'purify-ts';
import { identifier, type NodeId } from '../../core/identifiers.js';
import { decodeCbor, encodeCbor } from '../../protocol/codec/cbor.js';
import { isFields, isText } from '../../protocol/codec/shape.js';
import { areEqual, type SharedSecret } from './shared-secret.js';

/** Version of the protocol between nodes; peers with another version are refused. */
const PROTOCOL_VERSION = 1;

/** Maximum length of a frame before both sides are authenticated, in bytes. */
export const MAX_HANDSHAKE_BYTES = 512;

const NONCE_BYTES = 16;

interface Hello {
  readonly from: NodeId;
  readonly to: NodeId;
  readonly nonce: Uint8Array;
}

interface Nonces {
  readonly hello: Hello;
  readonly nonce: Uint8Array;
}

/** The next action of a side. */
export type HandshakeStep =
  | { readonly type: 'send'; readonly body: Buffer }
  | { readonly type: 'done'; readonly peer: NodeId; readonly body?: Buffer };

/** One side of a handshake. */
export interface Handshake {
  /** Handles the body of the peer's next frame; Left describes a problem that closes the link. */
  handleFrame(body: Uint8Array): Either<string, HandshakeStep>;
}

const isBytes = (value: unknown): value is Uint8Array => value instanceof Uint8Array;

const proveNonces = (secret: SharedSecret, label: string, { hello, nonce }: Nonces): Buffer =>
  secret.prove([label, String(PROTOCOL_VERSION), hello.from, hello.to, hello.nonce, nonce]);

const decodeFields = (body: Uint8Array): Either<string, Readonly<Record<string, unknown>>> =>
  decodeCbor(body)
    .mapLeft(() => 'the handshake is not CBOR')
    .chain((value) => (isFields(value) ? Right(value) : Left('the handshake has no fields')));

const readHello = (body: Uint8Array): Either<string, Hello> =>
  decodeFields(body).chain((fields) => {
    if (fields['protocol'] !== PROTOCOL_VERSION) {
      return Left(`the peer uses protocol version ${String(fields['protocol'])}`);
    }
    const { from, to, nonce } = fields;
    return isText(from) && isText(to) && isBytes(nonce) && nonce.length === NONCE_BYTES
      ? Right({ from: identifier<NodeId>(from), to: identifier<NodeId>(to), nonce })
      : Left('the hello is malformed');
  });

/** The side that opens the connection and sends the first frame. */
export class ConnectorHandshake implements Handshake {
  private readonly hello: Hello;

  constructor(
    private readonly secret: SharedSecret,
    self: NodeId,
    peer: NodeId,
  ) {
    this.hello = { from: self, to: peer, nonce: randomBytes(NONCE_BYTES) };
  }

  /** Returns the body of the first frame. */
  begin(): Buffer {
    return encodeCbor({ protocol: PROTOCOL_VERSION, ...this.hello });
  }

  handleFrame(body: Uint8Array): Either<string, HandshakeStep> {
    return decodeFields(body).chain((fields) => {
      const { nonce, proof } = fields;
      if (!isBytes(nonce) || nonce.length !== NONCE_BYTES || !isBytes(proof)) {
        return Left('the challenge is malformed');
      }
      const nonces = { hello: this.hello, nonce };
      if (!areEqual(proof, proveNonces(this.secret, 'acceptor', nonces))) {
        return Left('the peer does not hold the shared secret');
      }
      const answer = encodeCbor({ proof: proveNonces(this.secret, 'connector', nonces) });
      return Right({ type: 'done', peer: this.hello.to, body: answer });
    });
  }
}

/** The side that accepts the connection. */
export class AcceptorHandshake implements Handshake {
  private nonces: Nonces | undefined;

  constructor(
    private readonly secret: SharedSecret,
    private readonly self: NodeId,
  ) {}

  handleFrame(body: Uint8Array): Either<string, HandshakeStep> {
    return this.nonces === undefined ? this.answerHello(body) : this.check(body, this.nonces);
  }

  private answerHello(body: Uint8Array): Either<string, HandshakeStep> {
    return readHello(body).chain((hello): Either<string, HandshakeStep> => {
      if (hello.to !== this.self) {
        return Left(`the peer expects node ${hello.to}`);
      }
      const nonces = { hello, nonce: randomBytes(NONCE_BYTES) };
      this.nonces = nonces;
      const proof = proveNonces(this.secret, 'acceptor', nonces);
      return Right({ type: 'send', body: encodeCbor({ nonce: nonces.nonce, proof }) });
    });
  }

  private check(body: Uint8Array, nonces: Nonces): Either<string, HandshakeStep> {
    return decodeFields(body).chain((fields): Either<string, HandshakeStep> => {
      const { proof } = fields;
      const wanted = proveNonces(this.secret, 'connector', nonces);
      return isBytes(proof) && areEqual(proof, wanted)
        ? Right({ type: 'done', peer: nonces.hello.from })
        : Left('the peer does not hold the shared secret');
    });
  }
}
