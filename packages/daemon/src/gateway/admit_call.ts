import { pickTarget } from "@teaselrouter/core/gateway/pick_target.ts";
import type { RequestFacts } from "@teaselrouter/core/gateway/request_facts.ts";
import { retryAfter } from "@teaselrouter/core/gateway/retry_after.ts";
import type { Route } from "@teaselrouter/core/gateway/route.ts";
import type { RouteTable } from "@teaselrouter/core/gateway/route_table.ts";
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth";
import { readBody } from "../http/read_body.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { CallRefusal } from "./call_refusal.ts";
import type { GatewayWorld } from "./gateway_world.ts";

/** Of a client that does not say. */
const USUAL_PATIENCE_MILLISECONDS = 2_500;

const LINE_END_BYTES = 2;

/** Ranks that backend servers know: 0 to 9. */
const LAST_RANK = 9;

type Place = { route: Route; workspace: string | undefined; rank: number };

/**
 * Checks a request and reads it whole; the refusal says what is wrong.
 *
 * @param startedAt when its head was read, monotonic milliseconds.
 */
export async function admitCall(
  world: GatewayWorld,
  request: IncomingMessage,
  startedAt: number,
): Promise<Result<AdmittedCall, CallRefusal>> {
  const facts = world.format.readRequest(request.headers);
  const table = world.feed.table;
  if (table === undefined) {
    return Result.err({
      status: 503,
      reason: "no routing configuration is known yet",
      retryAfterMilliseconds: retryAfter({
        cause: "outage",
        patienceMilliseconds: facts.deadlineMilliseconds ??
          USUAL_PATIENCE_MILLISECONDS,
        random: world.random(),
      }),
    });
  }
  if (headBytes(request) > table.configuration.callerLimits.maxHeaderBytes) {
    return refuse(431, "its headers are larger than the configuration allows");
  }
  const place = findPlace(table, request, facts);
  if (place.isErr) return Result.err(place.error);
  if (facts.id === undefined) return refuse(400, "the attempt has no id");
  const body = await readWhole(table, request);
  if (body.isErr) return Result.err(body.error);
  const { route, workspace, rank } = place.value;
  const service = table.service(pickTarget(route, world.random()))!;
  const patience = Math.min(
    route.timeoutMilliseconds,
    facts.deadlineMilliseconds ?? Infinity,
  );
  const spentBefore = world.patience.spentBefore(
    route,
    facts.deadlineMilliseconds,
  );
  return Result.ok({
    id: facts.id,
    facts,
    route,
    service,
    workspace,
    rank,
    method: request.method ?? "GET",
    path: request.url ?? "/",
    rawHeaders: request.rawHeaders,
    body: body.value,
    startedAt,
    spentBefore,
    lateAt: startedAt + route.targetMilliseconds - spentBefore,
    endsAt: startedAt + patience,
  });
}

/** The request line and headers as they came, in bytes. */
function headBytes({ method, url, rawHeaders }: IncomingMessage): number {
  const line = `${method} ${url} HTTP/1.1`.length + LINE_END_BYTES;
  // A name is followed by a colon and a space, a value by the line's end.
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, line);
}

function findPlace(
  table: RouteTable,
  request: IncomingMessage,
  facts: RequestFacts,
): Result<Place, CallRefusal> {
  const host = (request.headers.host ?? "").toLowerCase().replace(/:\d+$/, "");
  const route = table.match(host, request.url ?? "/");
  if (route === undefined) return refuse(404, "no route matches");
  if (!table.needsKey(route)) {
    return Result.ok({
      route,
      workspace: undefined,
      rank: rankOf(route.priority),
    });
  }
  const workspace = facts.key === undefined
    ? undefined
    : table.workspaceOf(facts.key);
  if (workspace === undefined) return refuse(401, "the key is not known");
  const rank = rankOf(workspace.priority ?? route.priority);
  return Result.ok({ route, workspace: workspace.name, rank });
}

function rankOf(priority: number): number {
  return Math.min(LAST_RANK, Math.max(0, Math.round(priority)));
}

async function readWhole(
  table: RouteTable,
  request: IncomingMessage,
): Promise<Result<AdmittedCall["body"], CallRefusal>> {
  const hasBody = request.headers["content-length"] !== undefined ||
    request.headers["transfer-encoding"] !== undefined;
  if (!hasBody) return Result.ok(undefined);
  const { maxBodyBytes, idleTimeoutMilliseconds } =
    table.configuration.callerLimits;
  const body = await readBody(request, {
    maximumBytes: maxBodyBytes,
    idleMilliseconds: idleTimeoutMilliseconds,
  });
  if (body.isOk) return Result.ok(body.value);
  return refuse(body.error.status, body.error.detail);
}

function refuse<Value>(
  status: number,
  reason: string,
): Result<Value, CallRefusal> {
  return Result.err({ status, reason });
}
