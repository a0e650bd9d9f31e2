/** Entry point of the agent program. */
import { createPermitAgent } from './permit-agent.js';
import { runProgram } from './program.js';
import { parseAgentSettings } from './settings.js';

runProgram({
  name: 'masticbend-agent',
  parseSettings: parseAgentSettings,
  create: createPermitAgent,
});
