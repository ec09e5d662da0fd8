// Loaded into the process of a host before its program: connections to the servers are refused, as by a network path that
// is cut, while those to callers, the store and other hosts work.
import {Socket} from 'node:net';
import type {TcpSocketConnectOpts} from 'node:net';

/** Environment variable with the start of the addresses of the servers. */
const prefixVariable = 'RESPONSE_ENDS_CUT_PREFIX';
/** Port on which nothing listens. */
const closedPort = 1;

const prefix = process.env[prefixVariable] ?? '';
const methods = Socket.prototype as {connect: (...args: unknown[]) => Socket};
const {connect} = methods;

methods.connect = function connectUnlessCut(this: Socket, ...args: unknown[]): Socket {
  // `net.connect` passes its normalized arguments as one array.
  const [target] = Array.isArray(args[0]) ? (args[0] as unknown[]) : args;
  const {host} = (target ?? {}) as Partial<TcpSocketConnectOpts>;
  if (prefix !== '' && host?.startsWith(prefix) === true) {
    (target as TcpSocketConnectOpts).port = closedPort;
  }
  return connect.apply(this, args);
};
