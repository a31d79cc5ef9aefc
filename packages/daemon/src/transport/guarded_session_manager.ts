import { Http2SessionManager } from "@connectrpc/connect-node";
import type { ClientHttp2Session, ClientHttp2Stream } from "node:http2";

/**
 * A session manager whose sessions always have someone who listens for errors.
 * Connect's own takes its listener off a session that it leaves, as when a call
 * begins on one that is just being closed. An error without a listener would
 * end this process.
 */
export class GuardedSessionManager extends Http2SessionManager {
  #guarded = new WeakSet<ClientHttp2Session>();

  override async request(
    ...options: Parameters<Http2SessionManager["request"]>
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(...options);
    const session = stream.session as ClientHttp2Session | undefined;
    if (session !== undefined && !this.#guarded.has(session)) {
      this.#guarded.add(session);
      // Calls hear of it by their streams, and Connect by its own listener.
      session.on("error", () => undefined);
    }
    return stream;
  }
}
