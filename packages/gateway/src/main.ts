/** Program of an entry on the platform. */
import { createGateway } from './gateway.js';
import { runProgram } from './program.js';
import { parseGatewaySettings } from './settings.js';

runProgram({
  name: 'masticbend-entry',
  parseSettings: parseGatewaySettings,
  create: createGateway,
});
