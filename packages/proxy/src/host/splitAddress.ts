/** Splits `IP:port`; an IPv6 number stands in brackets. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

/** Where a server listens, from `IP:port`. */
export function listenAddress(address: string): {listenHost: string; listenPort: number} {
  const {host, port} = splitAddress(address);
  return {listenHost: host, listenPort: port};
}
