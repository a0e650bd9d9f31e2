/** Exit codes of the programs and their commands. */
export const EXIT_FAILED = 1;
export const EXIT_USAGE = 2;
