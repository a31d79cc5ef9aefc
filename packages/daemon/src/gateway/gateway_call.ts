import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import type { BackendChoice } from "@teaselrouter/core/gateway/backend_choice.ts";
import type { IncomingMessage, ServerResponse } from "node:http";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { admitCall } from "./admit_call.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import { AnswerPasser } from "./answer_passer.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import { CallEnding } from "./call_ending.ts";
import { CallRefuser } from "./call_refuser.ts";
import { CallRouting } from "./call_routing.ts";
import { CallSender } from "./call_sender.ts";
import type { GatewayWorld } from "./gateway_world.ts";

type Answer = Extract<AttemptOutcome, { kind: "answer" }>;

type Options = {
  world: GatewayWorld;
  request: IncomingMessage;
  response: ServerResponse;
};

/** What a request is under way with, once it was admitted. */
type Work = {
  call: AdmittedCall;
  sender: CallSender;
  passer: AnswerPasser;
  routing: CallRouting;
  refuser: CallRefuser;
};

/** One request of a client, from its head to the end of its answer. */
export class GatewayCall {
  #world: GatewayWorld;
  #request: IncomingMessage;
  #response: ServerResponse;
  #startedAt = monotonicMilliseconds();
  #ending: CallEnding;

  constructor(options: Options) {
    this.#world = options.world;
    this.#request = options.request;
    this.#response = options.response;
    this.#ending = new CallEnding(options);
  }

  /** Never rejects; every way out ends the answer. */
  async run(): Promise<void> {
    const world = this.#world;
    const response = this.#response;
    await this.#holdUntilConfigured();
    const admitted = await admitCall(world, this.#request, this.#startedAt);
    if (admitted.isErr) return this.#ending.refuse(undefined, admitted.error);
    const call = admitted.value;
    const isOver = () => this.#ending.isOver;
    const sender = new CallSender(world, call);
    const passer = new AnswerPasser({ world, call, response, isOver });
    const { tried } = sender;
    const routing = new CallRouting({ world, call, passer, tried });
    const refuser = new CallRefuser(world, call);
    const work: Work = { call, sender, passer, routing, refuser };
    world.retries.countRequest();
    // Its end came and went while it was held or read.
    if (response.destroyed) return this.#noteLeft(work);
    response.once("close", () => this.#noteLeft(work));
    const left = call.endsAt - monotonicMilliseconds();
    this.#ending.startTimer(left, () => this.#giveUp(work));
    const endWatch = world.crashes.watch({
      call,
      end: (blame) => this.#endBlamed(work, blame),
    });
    try {
      await this.#place(work);
    } finally {
      endWatch();
    }
  }

  /** Nothing can be said of a request before a configuration is known. */
  async #holdUntilConfigured(): Promise<void> {
    const { feed, startHold } = this.#world;
    while (feed.table === undefined && !this.#response.destroyed) {
      if (!await startHold.wait(this.#startedAt)) return;
    }
  }

  /** Sends it, and again where that is allowed, until it is answered. */
  async #place(work: Work): Promise<void> {
    const { sender, passer, routing, refuser } = work;
    let lastReason = "";
    while (!this.#ending.isOver) {
      const blame = this.#world.crashes.refusal(work.call);
      if (blame !== undefined) return this.#refuseBlamed(work, blame);
      const choice = routing.choose();
      if (choice === undefined) {
        if (await this.#holdUnplaced(work)) continue;
        return this.#refuseUnplaced(work, lastReason);
      }
      if (sender.tried.size > 0 && !routing.trySendAgain()) {
        const reason = `${lastReason}; no further send is allowed`;
        return this.#ending.refuse(work, refuser.refusal(reason, "busy"));
      }
      const placement = routing.place(choice);
      if (placement.kind === "refused") {
        const reason = "its backend servers have no room";
        return this.#ending.refuse(work, refuser.refusal(reason, "overload"));
      }
      const endWatch = this.#watchSilence(work, choice);
      const outcome = await sender.send(choice, {
        placement,
        weightsVersion: routing.weightsVersion,
        resumesAfter: passer.lastEventId,
      });
      const end = await this.#takeOutcome(work, choice, outcome);
      endWatch();
      if (end === "over") return;
      lastReason = end;
      refuser.mayHaveRun ||= outcome.kind !== "not-run";
      if (refuser.mayHaveRun && !routing.mayRepeat) {
        return this.#ending.refuse(work, { status: 502, reason: lastReason });
      }
    }
  }

  /** Its backend servers may not have been heard of yet. */
  #holdUnplaced({ call, sender }: Work): Promise<boolean> {
    if (sender.tried.size > 0) return Promise.resolve(false);
    return this.#world.startHold.wait(call.startedAt);
  }

  /** Gives back why it is to be sent again, or "over". */
  async #takeOutcome(
    work: Work,
    choice: BackendChoice,
    outcome: AttemptOutcome,
  ): Promise<string> {
    if (this.#ending.isOver) {
      if (outcome.kind === "answer") choice.record.inFlight -= 1;
      return "over";
    }
    if (outcome.kind === "answer") {
      const end = await this.#takeAnswer(work, choice, outcome);
      return end === "over" ? end : "the answer broke off";
    }
    work.sender.noteFailure(choice, outcome);
    if (outcome.kind === "broken" && !outcome.isGivenUp) {
      this.#noteBreak(work, choice, undefined);
    }
    return outcome.reason;
  }

  #watchSilence(
    { sender, routing }: Work,
    { record }: BackendChoice,
  ): () => void {
    return this.#world.silence.watch({
      isSilent: () => record.isSilent(monotonicMilliseconds()),
      mayGoElsewhere: () =>
        !this.#ending.isOver && routing.canTryElsewhere() &&
        this.#world.retries.mayBeSpent,
      giveUp: () => sender.abort("its backend server has fallen silent"),
    });
  }

  /** Passes an answer on; "again" when another is to be asked. */
  async #takeAnswer(
    work: Work,
    { standing, record }: BackendChoice,
    { message, facts }: Answer,
  ): Promise<"over" | "again"> {
    const { sender, passer, routing } = work;
    const status = message.statusCode ?? 502;
    const now = monotonicMilliseconds();
    if (facts.load !== undefined) record.takeReport(facts.load, now);
    const isGood = status >= 200 && status < 300;
    if (isGood && !facts.isSigned) {
      record.inFlight -= 1;
      sender.abort("a success without a signature");
      return "again";
    }
    if (status >= 500 && routing.canTryElsewhere()) {
      record.inFlight -= 1;
      record.countFailure(now);
      message.resume();
      return "again";
    }
    if (isGood) record.endTrial();
    routing.weightsVersion ??= facts.weightsVersion;
    const end = await passer.pass(message, () => sender.hasFailed);
    record.inFlight -= 1;
    if (this.#ending.isOver) return "over";
    if (end === "broken" || status >= 500) {
      record.countFailure(monotonicMilliseconds());
    } else {
      record.countSuccess();
      record.noteHold(monotonicMilliseconds() - now);
    }
    if (end === "broken") {
      if (!sender.isGivenUp) this.#noteBreak(work, { standing, record }, now);
      this.#world.log.info("answer-broken", {
        id: work.call.id,
        instance: standing.instance,
        last_event: passer.lastEventId,
        sends: sender.tried.size,
      });
      return "again";
    }
    this.#response.end();
    if (isGood) this.#world.crashes.noteGoodEnd(work.call);
    const reason = standing.instance;
    this.#ending.finish(work, { status, reason, outcome: "answered" });
    return "over";
  }

  #noteBreak(
    { call, sender }: Work,
    { standing }: BackendChoice,
    headAt: number | undefined,
  ): void {
    // Only a stream's head tells that it had begun: others answer at the end.
    const begunAt = call.route.kind === "stream" ? headAt : sender.sentAt;
    this.#world.crashWatch.note({ call, standing, begunAt });
  }

  /** What has begun to answer goes on: it is too late to keep it off. */
  #endBlamed(work: Work, blame: Blame): void {
    if (this.#ending.isOver || work.passer.hasBegun) return;
    work.refuser.mayHaveRun ||= work.sender.isSent;
    this.#refuseBlamed(work, blame);
    work.sender.abort("it ends what runs it");
  }

  #refuseBlamed(work: Work, blame: Blame): void {
    this.#ending.refuse(work, work.refuser.blamed(blame));
  }

  #giveUp(work: Work): void {
    if (this.#ending.isOver) return;
    const isSent = work.refuser.mayHaveRun || work.sender.isSent;
    const reason = "the time for it is over";
    this.#ending.refuse(work, { status: isSent ? 504 : 503, reason });
    work.sender.abort(reason);
  }

  #noteLeft(work: Work): void {
    if (this.#ending.isOver) return;
    const reason = "the client closed its connection";
    this.#ending.finish(work, { status: 499, reason, outcome: "client-left" });
    work.sender.abort("the client has left");
  }

  #refuseUnplaced(work: Work, lastReason: string): void {
    const { refuser, routing } = work;
    const untilRoom = routing.untilRoom();
    if (untilRoom !== undefined) {
      return this.#ending.refuse(work, refuser.limited(untilRoom));
    }
    const refusal = lastReason === ""
      ? refuser.refusal("no backend server takes it now", "outage")
      : refuser.refusal(lastReason, "busy");
    this.#ending.refuse(work, refusal);
  }
}
