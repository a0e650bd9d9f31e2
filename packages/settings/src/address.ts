/** Addresses of the form `IP:port`. */

const ADDRESS_PATTERN = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const MAX_OCTET = 255;
const MAX_PORT = 65_535;

/** Splits `IP:port` into its parts, which are not checked. */
export function parseAddress(text: string): { host: string; port: number } {
  const separator = text.lastIndexOf(':');
  return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
}

/** Returns whether a text is an IPv4 address with a port from 1 to 65535. */
export function isAddress(text: string): boolean {
  const [, ...parts] = ADDRESS_PATTERN.exec(text) ?? [];
  if (parts.length === 0) return false;
  const port = Number(parts.pop());
  return port > 0 && port <= MAX_PORT && parts.every((part) => Number(part) <= MAX_OCTET);
}
