import { createServer } from "node:net";
import process from "node:process";

/**
 * This process's own loopback address. On the common one, a port that the
 * system gave out can be taken, before the daemon listens on it, by any
 * connection that another test opens; those never come from this address.
 */
function ownHost(): string {
  const { pid } = process;
  return `127.${64 + (pid >> 16) % 64}.${(pid >> 8) % 256}.${1 + pid % 254}`;
}

/** Given out before: the system may give a port again once it is free. */
const given = new Set<string>();

/** Loopback addresses whose ports the system just gave out, each once. */
export async function freeAddresses(count: number): Promise<string[]> {
  const fresh: string[] = [];
  while (fresh.length < count) {
    for (const address of await askForAddresses(count - fresh.length)) {
      if (!given.has(address)) fresh.push(address);
      given.add(address);
    }
  }
  return fresh;
}

async function askForAddresses(count: number): Promise<string[]> {
  const host = ownHost();
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
