import * as z from "zod";

const ADDRESS = /^([a-zA-Z0-9.-]+|\[[0-9a-f:]+\]):(\d{1,5})$/;

function hasPort(address: string): boolean {
  const port = Number(ADDRESS.exec(address)?.[2] ?? 0);
  return port >= 1 && port <= 65_535;
}

/** Address on which a process listens or is reached, as host:port. */
export const addressSchema = z.string().refine(hasPort, {
  message: "must be host:port with a port from 1 to 65535",
});
