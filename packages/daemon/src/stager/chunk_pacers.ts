import { chunkLinkShare } from "@teaselrouter/core/spread/chunk_link_share.ts";
import { LinkPacer } from "../spread/link_pacer.ts";

type Options = {
  /** Rate of the host's link in each direction; 0 for no limit. */
  linkBytesPerSecond: number;
  /** Share of it for chunks while the engine has no requests. */
  idleShare: number;
};

type Engine = { acceptsRequests: boolean; requests: number };

/** Limits chunk transfers on a host's link, depending on what its engine does. */
export class ChunkPacers {
  readonly receiving: LinkPacer;
  readonly sending: LinkPacer;
  #options: Options;
  #engine: Engine = { acceptsRequests: true, requests: 0 };

  constructor(options: Options) {
    this.#options = options;
    this.receiving = new LinkPacer(this.servingBytesPerSecond);
    this.sending = new LinkPacer(this.servingBytesPerSecond);
  }

  /** Rate limit in each direction beside live responses; 0 for no limit. */
  get servingBytesPerSecond(): number {
    return this.#rateFor({ acceptsRequests: true, requests: 0 });
  }

  /** Takes what has changed at the engine. */
  update(change: Partial<Engine>): void {
    this.#engine = { ...this.#engine, ...change };
    const bytesPerSecond = this.#rateFor(this.#engine);
    this.receiving.setRate(bytesPerSecond);
    this.sending.setRate(bytesPerSecond);
  }

  #rateFor(engine: Engine): number {
    const { linkBytesPerSecond, idleShare } = this.#options;
    return linkBytesPerSecond * chunkLinkShare(engine, idleShare);
  }
}
