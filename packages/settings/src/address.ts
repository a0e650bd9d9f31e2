/** Addresses of the form `IP:port`. */

const ADDRESS = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const LARGEST_BYTE = 255;
const LARGEST_PORT = 65_535;

/** Splits `IP:port`. */
export function parseAddress(text: string): { host: string; port: number } {
  const separator = text.lastIndexOf(':');
  return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
}

/** Tells whether a text is an IPv4 address with a port that can be dialled. */
export function isAddress(text: string): boolean {
  const [, ...parts] = ADDRESS.exec(text) ?? [];
  if (parts.length === 0) return false;
  const port = Number(parts.pop());
  return port > 0 && port <= LARGEST_PORT && parts.every((part) => Number(part) <= LARGEST_BYTE);
}
