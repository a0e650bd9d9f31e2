/** Schema of addresses in settings and in the configuration document. */
import { z } from 'zod';
import { isAddress } from './address.js';

/** An address of the form `IP:port` that a connection can be opened to. */
export const address = z.string().refine(isAddress, 'expected an address as "IP:port"');
