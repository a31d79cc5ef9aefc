/**
 * Which session tells of the good ends at each gateway. A gateway can follow anew
 * before its former session is closed: the latest one counts.
 */
export class GoodEndSources {
  /** By source, one run of a gateway's process. */
  #sessions = new Map<string, object>();
  /** By session. */
  #sources = new Map<object, string>();

  /** Records who tells. Returns a source that nobody tells of any more, if any. */
  record(source: string, session: object): string | undefined {
    const former = this.#sources.get(session);
    const outdated = former === source ? undefined : this.end(session);
    this.#sources.set(session, source);
    this.#sessions.set(source, session);
    return outdated;
  }

  /** A session is over. Returns the source that nobody tells of now, if any. */
  end(session: object): string | undefined {
    const source = this.#sources.get(session);
    this.#sources.delete(session);
    if (source === undefined) return undefined;
    if (this.#sessions.get(source) !== session) return undefined;
    this.#sessions.delete(source);
    return source;
  }
}
