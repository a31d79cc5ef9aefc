import type { MessageInitShape } from "@bufbuild/protobuf";
import type { GatewayView } from "@teaselrouter/core/cold/gateway_view.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import type {
  GatewayPresence,
  GatewayViewSchema,
} from "@teaselrouter/messages/follow.ts";
import type { GatewayCounter } from "./gateway_counter.ts";

type Options = {
  counter: GatewayCounter;
  send: (view: MessageInitShape<typeof GatewayViewSchema>) => void;
};

/**
 * Tells one follower the gateways that share the rates of cold backend servers,
 * if it has announced itself as one of them.
 */
export class GatewayTeller {
  #options: Options;
  #presence: GatewayPresence | undefined;
  #sentView: GatewayView | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  answer(presence: GatewayPresence): void {
    if (!this.#options.counter.addLocalPresence(presence)) return;
    this.#presence = presence;
    this.tell();
  }

  /** Sends the view unless the gateway itself is taken for one cut off. */
  tell(): void {
    if (this.#presence === undefined) return;
    const { host, sequence } = this.#presence;
    const view = this.#options.counter.currentView();
    if (!view?.heard.includes(hashText(host))) return;
    const unchanged = view === this.#sentView;
    this.#sentView = view;
    const { heard, unheard } = unchanged ? { heard: [], unheard: [] } : view;
    this.#options.send({
      sequence,
      unchanged,
      heard: [...heard],
      unheard: [...unheard],
    });
  }
}
