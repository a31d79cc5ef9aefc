import type { Server } from "node:net";
import { Result } from "true-myth";
import { splitAddress } from "./split_address.ts";

/** Starts listening on `address` (host:port); the error gives the reason. */
export function listen(
  server: Server,
  address: string,
): Promise<Result<void, string>> {
  return new Promise((resolve) => {
    const fail = (error: Error) => resolve(Result.err(error.message));
    server.once("error", fail);
    server.listen(splitAddress(address), () => {
      server.off("error", fail);
      resolve(Result.ok(undefined));
    });
  });
}
