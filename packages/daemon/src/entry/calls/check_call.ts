import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth";
import type { CheckedCall } from "./checked_call.ts";
import type { Problem } from "../../http/problem.ts";

const CALL_PATH = /^\/v1\/services\/([a-z0-9][a-z0-9._-]{0,62})(\/[^?#]*)?$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,200}$/;
const MAX_DEADLINE_MILLISECONDS = 600_000;

/** The parts of a call that are checked before its body is read. */
type CallHead = Omit<CheckedCall, "body"> & { maximumBodyBytes: number };

type CheckContext = {
  state: ControlState;
  /**
   * Whether a service's calls may be repeated; undefined if no backend server
   * of the service is known.
   */
  isRepeatable: (service: string) => boolean | undefined;
  now: number;
};

function refuse(
  status: number,
  type: string,
  options: { field?: string; detail: string },
): Result<never, Problem> {
  return Result.err({ status, type, outcome: "not-run", ...options });
}

function readHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === "string" ? value : "";
}

function checkDeadline(
  text: string,
  defaultMilliseconds: number,
): Result<number, Problem> {
  if (text === "") return Result.ok(defaultMilliseconds);
  const value = Number(text);
  const valid = Number.isInteger(value) && value >= 1 &&
    value <= MAX_DEADLINE_MILLISECONDS;
  if (valid) return Result.ok(value);
  return refuse(400, "bad-header", {
    field: "Teaselrouter-Deadline-Ms",
    detail: `must be a whole number from 1 to ${MAX_DEADLINE_MILLISECONDS}`,
  });
}

/** Checks a request's path, method and headers against its contract. */
export function checkCall(
  request: IncomingMessage,
  context: CheckContext,
): Result<CallHead, Problem> {
  const match = CALL_PATH.exec(request.url ?? "");
  if (match === null) {
    return refuse(404, "no-such-path", {
      detail: "callers use POST /v1/services/{service}/{path}",
    });
  }
  if (request.method !== "POST") {
    return refuse(405, "method-not-allowed", { detail: "callers use POST" });
  }
  const workspace = readHeader(request, "teaselrouter-workspace");
  const contract = context.state.contracts.get(workspace);
  if (contract === undefined || contract.retired) {
    return refuse(403, "unknown-workspace", {
      field: "Teaselrouter-Workspace",
      detail: `no contract stands for workspace "${workspace}"`,
    });
  }
  const service = match[1]!;
  if (!contract.content.services.includes(service)) {
    return refuse(404, "unknown-service", {
      field: "service",
      detail: `the contract of "${workspace}" has no service "${service}"`,
    });
  }
  const idempotencyKey = readHeader(request, "idempotency-key");
  if (idempotencyKey === "" && context.isRepeatable(service) === false) {
    return refuse(400, "missing-header", {
      field: "Idempotency-Key",
      detail: `calls of "${service}" may not be repeated and need a key`,
    });
  }
  if (idempotencyKey !== "" && !IDEMPOTENCY_KEY.test(idempotencyKey)) {
    return refuse(400, "bad-header", {
      field: "Idempotency-Key",
      detail: "must be 1 to 200 visible ASCII characters",
    });
  }
  const deadline = checkDeadline(
    readHeader(request, "teaselrouter-deadline-ms"),
    contract.content.deadline_milliseconds,
  );
  if (deadline.isErr) return Result.err(deadline.error);
  return Result.ok({
    workspace,
    service,
    path: match[2] ?? "/",
    contentType: readHeader(request, "content-type"),
    idempotencyKey,
    deadlineMilliseconds: deadline.value,
    priority: contract.content.priority,
    receivedAt: context.now,
    maximumBodyBytes: contract.content.maximum_body_bytes,
  });
}
