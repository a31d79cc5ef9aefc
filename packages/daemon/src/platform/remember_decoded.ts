import type { RoutingDecoder } from "./routing_decoder.ts";

/** Two operators may send theirs at once, and documents can be megabytes. */
const MAX_REMEMBERED = 2;

/**
 * Decodes each of the latest valid documents once: operators send theirs again
 * until it is acknowledged, and it is read again whenever other state changes.
 */
export function rememberDecoded(decode: RoutingDecoder): RoutingDecoder {
  const remembered = new Map<string, ReturnType<RoutingDecoder>>();
  return (document) => {
    const decoded = remembered.get(document) ?? decode(document);
    if (decoded.isErr) return decoded;
    remembered.delete(document);
    remembered.set(document, decoded);
    if (remembered.size > MAX_REMEMBERED) {
      remembered.delete(remembered.keys().next().value!);
    }
    return decoded;
  };
}
