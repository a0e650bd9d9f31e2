/** Gauges as Prometheus text, for programs that need no other metrics and load no histograms. */

/** Renders one gauge without labels. */
export function renderGauge(name: string, value: number): string {
  return `# TYPE ${name} gauge\n${name} ${value}\n`;
}
