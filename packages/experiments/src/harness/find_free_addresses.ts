import { createServer } from "node:net";
import process from "node:process";

/**
 * Returns a loopback address derived from the process id. On 127.0.0.1, a
 * connection that another test opens could take a free port as its source port
 * before the daemon listens on it. No such connection uses this address.
 */
function processLoopbackHost(): string {
  const { pid } = process;
  return `127.${64 + (pid >> 16) % 64}.${(pid >> 8) % 256}.${1 + pid % 254}`;
}

/**
 * Addresses returned so far, so that none is returned twice: the system may
 * assign a port again before the daemon listens on it.
 */
const returnedAddresses = new Set<string>();

/**
 * Returns distinct loopback addresses with ports that the system has just
 * assigned and that are free. No call returns an address of a previous one.
 */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    for (const address of await allocateAddresses(count - addresses.length)) {
      if (!returnedAddresses.has(address)) addresses.push(address);
      returnedAddresses.add(address);
    }
  }
  return addresses;
}

async function allocateAddresses(count: number): Promise<string[]> {
  const host = processLoopbackHost();
  const servers = Array.from({ length: count }, () => createServer());
  const addresses = await Promise.all(
    servers.map((server) =>
      new Promise<string>((resolve) => {
        server.listen(0, host, () => {
          const { port } = server.address() as { port: number };
          resolve(`${host}:${port}`);
        });
      })
    ),
  );
  await Promise.all(
    servers.map((server) =>
      new Promise<void>((resolve) => server.close(() => resolve()))
    ),
  );
  return addresses;
}
