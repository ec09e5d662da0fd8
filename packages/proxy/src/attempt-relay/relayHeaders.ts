/** Header by which a host names the server to which another host relays the attempt. */
export const relayServerHeader = 'x-relay-server';
/** Header by which a relaying host states that its last chunk only means that the server closed the connection in order. */
export const undeclaredEndHeader = 'x-relay-undeclared-end';
/** Header by which a relaying host states that it sent no byte of the attempt to the server. */
export const relayNotSentHeader = 'x-relay-not-sent';
