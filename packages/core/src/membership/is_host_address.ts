const ADDRESS = /^([a-zA-Z0-9.-]+|\[[0-9a-f:]+\]):(\d{1,5})$/;
const MAX_PORT = 65_535;

/** Whether a text is host:port, of a name or an address, with a real port. */
export function isHostAddress(text: string): boolean {
  const port = Number(ADDRESS.exec(text)?.[2] ?? 0);
  return port >= 1 && port <= MAX_PORT;
}
