import { createConnection } from "node:net";
import { splitAddress } from "./split_address.ts";

/** Well above the way there and back; without an answer nothing is known. */
const ASK_MILLISECONDS = 150;

/**
 * Whether the process that listened at an address has ended. Only a refused
 * connection shows it: a host that is cut off or dark says nothing.
 */
export function askWhetherEnded(
  address: string,
): Promise<"ended" | "alive" | "unknown"> {
  return new Promise((resolve) => {
    const socket = createConnection({
      ...splitAddress(address),
      timeout: ASK_MILLISECONDS,
    });
    const settle = (answer: "ended" | "alive" | "unknown") => {
      resolve(answer);
      socket.destroy();
    };
    socket.once("connect", () => settle("alive"));
    socket.once("timeout", () => settle("unknown"));
    socket.once("error", (error: { code?: string }) => {
      settle(error.code === "ECONNREFUSED" ? "ended" : "unknown");
    });
  });
}
