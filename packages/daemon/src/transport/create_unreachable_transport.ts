import { Code, ConnectError, type Transport } from "@connectrpc/connect";

/** Transport to an address that can't be right: each call fails as unavailable. */
export function createUnreachableTransport(address: string): Transport {
  const refuse = () =>
    Promise.reject(
      new ConnectError(`"${address}" can't be an address`, Code.Unavailable),
    );
  return { unary: refuse, stream: refuse };
}
