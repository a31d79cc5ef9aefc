import { createServer } from "node:net";

/** Loopback addresses whose ports the system just gave out. */
export async function freeAddresses(count: number): Promise<string[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const addresses = await Promise.all(
    servers.map((server) =>
      new Promise<string>((resolve) => {
        server.listen(0, "127.0.0.1", () => {
          const { port } = server.address() as { port: number };
          resolve(`127.0.0.1:${port}`);
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
