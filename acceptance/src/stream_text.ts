/** Whole body of a fake backend server's stream of `events` events. */
export function streamText(events: number): string {
  return Array.from(
    { length: events },
    (_, index) => `id: ${index + 1}\ndata: t${index + 1}\n\n`,
  ).join("");
}
