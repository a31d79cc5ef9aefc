import { isHostAddress } from "@teaselrouter/core/membership/is_host_address.ts";
import { createConnection } from "node:net";
import { splitAddress } from "./split_address.ts";

/**
 * Well above a round trip. When it passes without a reply, the state of the
 * process is unknown.
 */
const PROBE_TIMEOUT_MILLISECONDS = 150;
/** A server waits for a request for much longer. */
const CLOSE_MILLISECONDS = 100;

type Finding = "ended" | "closed" | "alive" | "unknown";
type Options = {
  /**
   * Whether to wait for the connection to be closed again at once, as by whoever
   * holds the port of a process that has ended.
   */
  awaitsClose?: boolean;
};

/**
 * Finds out whether the process that listened at `address` has ended, by
 * connecting to that address. Only a refused connection means "ended". A host
 * that is partitioned or powered off sends no reply, which means "unknown". With
 * `awaitsClose`, a connection that is closed again at once means "closed".
 */
export function probeProcessEnd(
  address: string,
  { awaitsClose = false }: Options = {},
): Promise<Finding> {
  if (!isHostAddress(address)) return Promise.resolve("unknown");
  return new Promise((resolve) => {
    const socket = createConnection({
      ...splitAddress(address),
      timeout: PROBE_TIMEOUT_MILLISECONDS,
    });
    let isConnected = false;
    const finish = (result: Finding) => {
      resolve(result);
      socket.destroy();
    };
    socket.once("connect", () => {
      if (!awaitsClose) return finish("alive");
      isConnected = true;
      setTimeout(() => finish("alive"), CLOSE_MILLISECONDS);
    });
    socket.once("data", () => finish("alive"));
    socket.once("end", () => finish("closed"));
    socket.once("timeout", () => finish(isConnected ? "alive" : "unknown"));
    socket.once("error", (error: { code?: string }) => {
      if (isConnected) return finish("closed");
      finish(error.code === "ECONNREFUSED" ? "ended" : "unknown");
    });
  });
}
