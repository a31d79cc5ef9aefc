import { contractContentSchema } from "@teaselrouter/core/contracts/contract_content_schema.ts";
import type { Command } from "@teaselrouter/core/state/command.ts";
import { commandSchema } from "@teaselrouter/core/state/command_schema.ts";
import { ControlService } from "@teaselrouter/messages/control.ts";
import { createHash } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { isDataCentreName } from "@teaselrouter/core/evacuations/is_data_centre_name.ts";
import { listEvacuations } from "@teaselrouter/core/evacuations/list_evacuations.ts";
import { Result } from "true-myth";
import * as z from "zod";
import type { ClientPool } from "../../transport/client_pool.ts";
import type { ControlSession } from "../sessions/control_session.ts";
import { describeIssue } from "../../http/describe_issue.ts";
import { fetchManifest } from "./fetch_manifest.ts";
import { proposeEvacuation } from "./propose_evacuation.ts";
import type { ProposalReply } from "../sessions/proposal_reply.ts";
import { invalidRequest } from "../calls/invalid_request.ts";
import type { CallerIntake } from "../../http/caller_intake.ts";
import type { Problem } from "../../http/problem.ts";
import { decodePath } from "../../http/decode_path.ts";
import { parseJson } from "../../http/parse_json.ts";
import { readBody } from "../../http/read_body.ts";
import { sendProblem } from "../../http/send_problem.ts";

const MAX_BODY_BYTES = 1_048_576;
const REPLACE_MEMBER_TIMEOUT_MILLISECONDS = 40_000;

const contractChangeSchema = z.strictObject({
  expected: z.number().int().min(0),
  content: contractContentSchema,
  retired: z.boolean().default(false),
});

const publishSchema = z.strictObject({
  expected: z.number().int().min(0),
  name: z.string().min(1).max(128),
  version: z.string().min(1).max(128),
  store: z.url().max(512),
  serving_share: z.number().min(0).max(1).default(0.75),
});

const NO_LEADER_PROBLEM: Problem = {
  status: 503,
  type: "no-leader",
  detail: "no leader can be reached; the change was not accepted",
  outcome: "not-run",
  retryAfterMilliseconds: 1_000,
};

const UNKNOWN_OUTCOME_PROBLEM: Problem = {
  status: 504,
  type: "outcome-unknown",
  detail: "the change may have been accepted; send the same again",
  outcome: "unknown",
  retryAfterMilliseconds: 1_000,
};

const evacuationSchema = z.strictObject({ evacuated: z.boolean() });
const drainSchema = z.strictObject({ drained: z.boolean() });

type Options = {
  control: ControlSession;
  clients: ClientPool;
  idleMilliseconds: number;
  intake: CallerIntake;
  /** Returns the body of the `status` answer. */
  readStatus: () => Promise<unknown>;
  readTimeline: (since: number) => Promise<unknown>;
};

type Reply = Result<{ status: number; body: unknown }, Problem>;

function computeDigest(value: unknown): string {
  return createHash("sha256").update(JSON.stringify(value)).digest("hex");
}

/** Handles the operators' requests on the public port. */
export class OperatorApi {
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "", "http://entry");
    const parts = decodePath(url.pathname).slice(2);
    const reply = request.method === "GET"
      ? await this.#handleRead(parts, url.searchParams)
      : await this.#handleChange(request, parts);
    if (reply.isErr) return sendProblem(response, reply.error);
    response.writeHead(reply.value.status, {
      "Content-Type": "application/json",
    });
    response.end(JSON.stringify(reply.value.body));
  }

  async #handleRead(parts: string[], query: URLSearchParams): Promise<Reply> {
    const { control } = this.#options;
    const [table, name] = parts;
    if (table === "status") {
      return found(await this.#options.readStatus());
    }
    if (table === "timeline") {
      const since = Number(query.get("since") ?? 0);
      return found(await this.#options.readTimeline(since || 0));
    }
    // An entry host that is cut off from the leader still returns its last
    // known tables, with `current` false.
    const current = await control.confirmStateIsCurrent();
    if (table === "contracts" && name === undefined) {
      return found({ current, rows: [...control.state.contracts.values()] });
    }
    if (table === "contracts") {
      return foundRow(current, control.state.contracts.get(name!));
    }
    if (table === "evacuations" && name === undefined) {
      return found({ current, rows: listEvacuations(control.state) });
    }
    if (table === "weights" && name === undefined) {
      return found({ current, rows: [...control.state.weights.values()] });
    }
    if (table === "weights") {
      return foundRow(current, control.state.weights.get(name!));
    }
    return noSuchPath();
  }

  async #handleChange(
    request: IncomingMessage,
    parts: string[],
  ): Promise<Reply> {
    const body = await this.#readJson(request);
    if (body.isErr) return Result.err(body.error);
    const [table, name, action] = parts;
    if (request.method !== "PUT" || name === undefined) return noSuchPath();
    if (table === "contracts") return this.#changeContract(name, body.value);
    if (table === "weights") return this.#publish(name, body.value);
    if (table === "backends" && action === "drain") {
      return this.#drain(name, body.value);
    }
    if (table === "evacuations") {
      const isWaiting = () => !request.socket.destroyed;
      return this.#orderEvacuation(name, body.value, isWaiting);
    }
    if (table === "members" && action === "replace") {
      return this.#replaceMember(name);
    }
    if (table === "entries" && action === "remove") {
      return this.#propose({ kind: "remove-entry", host: name });
    }
    return noSuchPath();
  }

  #changeContract(workspace: string, body: unknown): Promise<Reply> {
    const checked = contractChangeSchema.safeParse(body);
    if (!checked.success) return refuseInvalidBody(checked.error);
    const { expected, content, retired } = checked.data;
    return this.#propose({
      kind: "change-contract",
      workspace,
      expected,
      content,
      retired,
      digest: computeDigest({ content, retired }),
    });
  }

  async #publish(service: string, body: unknown): Promise<Reply> {
    const checked = publishSchema.safeParse(body);
    if (!checked.success) return refuseInvalidBody(checked.error);
    const { expected, name, version, store, serving_share } = checked.data;
    const manifest = await fetchManifest(store, name, version);
    if (manifest.isErr) return Result.err(manifest.error);
    return this.#propose({
      kind: "publish-weights",
      service,
      expected,
      manifest: manifest.value,
      store,
      servingShare: serving_share,
      digest: computeDigest({ manifest: manifest.value, store, serving_share }),
    });
  }

  #drain(backendServer: string, body: unknown): Promise<Reply> {
    const checked = drainSchema.safeParse(body);
    if (!checked.success) return refuseInvalidBody(checked.error);
    const { drained } = checked.data;
    return this.#propose({ kind: "drain-backend", backendServer, drained });
  }

  async #orderEvacuation(
    dataCentre: string,
    body: unknown,
    isWaiting: () => boolean,
  ): Promise<Reply> {
    const checked = evacuationSchema.safeParse(body);
    if (!checked.success) return refuseInvalidBody(checked.error);
    if (!isDataCentreName(dataCentre)) {
      const detail = "no data centre can have this name";
      return Result.err(invalidRequest("data_centre", detail));
    }
    const isEvacuated = checked.data.evacuated;
    const order = { dataCentre, isEvacuated, isWaiting };
    return toReply(await proposeEvacuation(this.#options.control, order));
  }

  async #replaceMember(name: string): Promise<Reply> {
    const { control, clients } = this.#options;
    const { leader } = control;
    if (leader === "") return Result.err(NO_LEADER_PROBLEM);
    try {
      const { accepted, reason, memberId } = await clients
        .client(ControlService, leader)
        .replaceMember({ name }, {
          timeoutMs: REPLACE_MEMBER_TIMEOUT_MILLISECONDS,
        });
      return Result.ok({
        status: accepted ? 200 : 409,
        body: { accepted, reason, stands: memberId },
      });
    } catch {
      return Result.err(UNKNOWN_OUTCOME_PROBLEM);
    }
  }

  async #propose(command: Command): Promise<Reply> {
    const checked = commandSchema.safeParse(command);
    if (!checked.success) return refuseInvalidBody(checked.error);
    return toReply(await this.#options.control.propose(command));
  }

  async #readJson(request: IncomingMessage): Promise<Result<unknown, Problem>> {
    const body = await readBody(request, {
      maximumBytes: MAX_BODY_BYTES,
      idleMilliseconds: this.#options.idleMilliseconds,
      intake: this.#options.intake,
    });
    if (body.isErr) return Result.err(body.error);
    const text = body.value.bytes.toString("utf8");
    body.value.release();
    return parseJson(text).mapErr((reason) =>
      invalidRequest("body", `the body is not JSON: ${reason}`)
    );
  }
}

function toReply(reply: ProposalReply): Reply {
  if (reply.kind === "not-proposed") return Result.err(NO_LEADER_PROBLEM);
  if (reply.kind === "unknown") return Result.err(UNKNOWN_OUTCOME_PROBLEM);
  const { accepted, reason, value } = reply.result;
  return Result.ok({
    status: accepted ? 200 : 409,
    body: {
      accepted,
      reason,
      stands: value,
      in_force: reply.inForce,
      hosts_without_lease: reply.hostsWithoutLease,
    },
  });
}

function found(body: unknown): Reply {
  return Result.ok({ status: 200, body });
}

function foundRow(current: boolean, row: unknown): Reply {
  // Operators' commands find the word "none" in this text (change_contract.ts,
  // publish_weights.ts).
  return row === undefined
    ? notFound("there is none under this name")
    : found({ current, row });
}

function notFound(detail: string): Reply {
  return Result.err({
    status: 404,
    type: "not-found",
    detail,
    outcome: "not-run",
  });
}

function noSuchPath(): Reply {
  return notFound("no such path");
}

function refuseInvalidBody(error: z.ZodError): Promise<Reply> {
  const { field, detail } = describeIssue(error);
  return Promise.resolve(Result.err(invalidRequest(field, detail)));
}
