/** Addresses of the form `IP:port`. */
import { isIPv4 } from 'node:net';

/** A port without leading zeros. */
const PORT_PATTERN = /^[1-9]\d{0,4}$/;
const MAX_PORT = 65_535;

/** Splits `IP:port` into its parts, which are not checked. */
export function parseAddress(text: string): { host: string; port: number } {
  const separator = text.lastIndexOf(':');
  return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) };
}

/**
 * Returns whether a text is an IPv4 address with a port from 1 to 65535. Numbers with leading zeros
 * are none: URL parsers read them as octal.
 */
export function isAddress(text: string): boolean {
  const separator = text.lastIndexOf(':');
  const port = text.slice(separator + 1);
  return isIPv4(text.slice(0, separator)) && PORT_PATTERN.test(port) && Number(port) <= MAX_PORT;
}
