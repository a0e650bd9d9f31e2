/** Sections of the configuration document. */

/** Names of the sections: top-level tables of the document, which teams own. */
export const Section = {
  Teams: 'teams',
  Tiers: 'tiers',
  Accounts: 'accounts',
  Work: 'work',
  Models: 'models',
  Services: 'services',
  BackendServers: 'backendServers',
  Limits: 'limits',
} as const;
export type Section = (typeof Section)[keyof typeof Section];
