/** Addresses of the form `IP:port`. */

/** Splits `IP:port`. */
export function parseAddress(text: string): { host: string; port: number } {
  const separator = text.lastIndexOf(':');
  return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
}
