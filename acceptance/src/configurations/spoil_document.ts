type Item = Record<string, unknown>;
type Document = { routes: Item[]; tenants: Item[] };

const SPOILERS: ((document: Document) => void)[] = [
  ({ routes }) => Object.assign(routes[0]!, { service: "nobody" }),
  ({ routes }) => Object.assign(routes[1]!, { pathPrefix: "/look/" }),
  ({ routes }) =>
    Object.assign(routes[0]!, { split: [{ service: "plain", weight: 0 }] }),
  ({ routes }) => Object.assign(routes[0]!, { timeoutMs: 0 }),
  ({ tenants }) => tenants.push({ name: "tenant-2", apiKeys: ["key-1"] }),
  ({ tenants }) => tenants.push({ name: "tenant-1", apiKeys: ["key-1"] }),
  ({ routes }) =>
    Object.assign(routes[0]!, {
      service: "nobody",
      split: [{ service: "plain", weight: 1 }],
    }),
  ({ routes }) =>
    Object.assign(routes[0]!, {
      split: [{ service: "plain", weight: 1 }, { service: "no", weight: 0 }],
    }),
];

/** Makes a configuration invalid in a drawn way, which operators must be told. */
export function spoilDocument(text: string, random: () => number): string {
  const kind = Math.floor(random() * (SPOILERS.length + 1));
  const spoil = SPOILERS[kind];
  if (spoil === undefined) return text.slice(0, -1 - Math.floor(random() * 99));
  const document = JSON.parse(text);
  spoil(document);
  return JSON.stringify(document);
}
