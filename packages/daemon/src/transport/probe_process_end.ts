import { isHostAddress } from "@teaselrouter/core/membership/is_host_address.ts";
import { createConnection } from "node:net";
import { splitAddress } from "./split_address.ts";

/**
 * Well above a round trip. When it passes without a reply, the state of the
 * process is unknown.
 */
const PROBE_TIMEOUT_MILLISECONDS = 150;

/**
 * Finds out whether the process that listened at `address` has ended, by
 * connecting to that address. Only a refused connection means "ended": a host
 * that is partitioned or powered off sends no reply, which means "unknown".
 */
export function probeProcessEnd(
  address: string,
): Promise<"ended" | "alive" | "unknown"> {
  if (!isHostAddress(address)) return Promise.resolve("unknown");
  return new Promise((resolve) => {
    const socket = createConnection({
      ...splitAddress(address),
      timeout: PROBE_TIMEOUT_MILLISECONDS,
    });
    const finish = (result: "ended" | "alive" | "unknown") => {
      resolve(result);
      socket.destroy();
    };
    socket.once("connect", () => finish("alive"));
    socket.once("timeout", () => finish("unknown"));
    socket.once("error", (error: { code?: string }) => {
      finish(error.code === "ECONNREFUSED" ? "ended" : "unknown");
    });
  });
}
