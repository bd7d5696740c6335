/** Settings of a node, validated and with defaults applied. */
import type { LogLevel } from './log-level.js';

/** An address to listen on or to connect to. */
export interface HostPort {
  /** An IP address; host names are not resolved. */
  readonly host: string;
  /** 1 to 65535; 0 lets the kernel choose, allowed only for listening. */
  readonly port: number;
}

/** Settings of `crossroad node`. */
export interface NodeSettings {
  /** Unique over all nodes, e.g. `bole-1`. */
  readonly node: string;
  readonly zone: string;
  readonly region: string;
  /** Address for callers (HTTP). */
  readonly caller: HostPort;
  /** Address for other nodes (TCP and UDP on the same port). */
  readonly peer: HostPort;
  /** Address for operators, health checks and metrics (HTTP). */
  readonly operator: HostPort;
  /** Base URL of the platform's object API, e.g. `http://127.0.0.1:7000`. */
  readonly platform: string;
  /** Peers to contact at start, in addition to the platform's machine list. */
  readonly seeds: readonly HostPort[];
  /** Secret that all nodes share and by which they authenticate each other; at least 16 characters. */
  readonly peerSecret: string;
  readonly logLevel: LogLevel;
  /** Seed of the core's random generator; chosen at random if absent. */
  readonly seed?: number;
  /** File that records the core's events for `crossroad replay`; absent for no recording. */
  readonly record?: string;
}
