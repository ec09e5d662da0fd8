/** Splits `IP:port` into host and port; an IPv6 address is written in brackets. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

/** Converts `IP:port` to the listen options of a server. */
export function listenAddress(address: string): {listenHost: string; listenPort: number} {
  const {host, port} = splitAddress(address);
  return {listenHost: host, listenPort: port};
}
