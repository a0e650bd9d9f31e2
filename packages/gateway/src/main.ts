/** Entry point of the gateway entry program. */
import { createGateway } from './gateway.js';
import { runProgram } from './program.js';
import { parseGatewaySettings } from './settings.js';

runProgram({
  name: 'masticbend-entry',
  parseSettings: parseGatewaySettings,
  create: createGateway,
});
