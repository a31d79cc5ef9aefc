import { intersectRegions } from "@teaselrouter/core/dispatch/intersect_regions.ts";
import { pickTarget } from "@teaselrouter/core/gateway/pick_target.ts";
import type { RequestMetadata } from "@teaselrouter/core/gateway/request_metadata.ts";
import { retryAfter } from "@teaselrouter/core/gateway/retry_after.ts";
import type { Route } from "@teaselrouter/core/gateway/route.ts";
import type { RouteTable } from "@teaselrouter/core/gateway/route_table.ts";
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth";
import { readBody } from "../http/read_body.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { CallRefusal } from "./call_refusal.ts";
import type { GatewayContext } from "./gateway_context.ts";

/** Assumed for clients that send no deadline. */
const DEFAULT_PATIENCE_MILLISECONDS = 2_500;

const LINE_END_BYTES = 2;

/** Lowest queue rank of a backend server; 0 is served first. */
const MAX_QUEUE_RANK = 9;

type RouteMatch = {
  route: Route;
  workspace: string | undefined;
  urgency: number;
  permittedRegions: ReadonlySet<string> | undefined;
};

/**
 * Checks a request, finds its route and reads its body; an error is the refusal
 * to send.
 *
 * @param startedAt when the request's head was read, monotonic milliseconds.
 * @param onBody called with what releases its body, once that has arrived.
 */
export async function admitCall(
  context: GatewayContext,
  request: IncomingMessage,
  { startedAt, onBody }: {
    startedAt: number;
    onBody: (release: () => void) => void;
  },
): Promise<Result<AdmittedCall, CallRefusal>> {
  const metadata = context.format.readRequest(request.headers);
  const table = context.feed.table;
  const delayFor = (cause: "outage" | "busy") =>
    retryAfter({
      cause,
      patienceMilliseconds: metadata.deadlineMilliseconds ??
        DEFAULT_PATIENCE_MILLISECONDS,
      random: context.random(),
    });
  if (table === undefined) {
    return Result.err({
      status: 503,
      reason: "no routing configuration is known yet",
      retryAfterMilliseconds: delayFor("outage"),
    });
  }
  if (
    measureHeadBytes(request) > table.configuration.callerLimits.maxHeaderBytes
  ) {
    return refuse(431, "its headers are larger than the configuration allows");
  }
  const match = matchRoute(table, request, metadata);
  if (match.isErr) return Result.err(match.error);
  if (metadata.id === undefined) return refuse(400, "the attempt has no id");
  const body = await readRequestBody(context, table, request);
  if (body.isErr) {
    return Result.err(
      body.error.status === 503
        ? { ...body.error, retryAfterMilliseconds: delayFor("busy") }
        : body.error,
    );
  }
  if (body.value !== undefined) onBody(body.value.release);
  const { route, workspace, urgency, permittedRegions } = match.value;
  const service = table.findService(pickTarget(route, context.random()))!;
  const patience = Math.min(
    route.timeoutMilliseconds,
    metadata.deadlineMilliseconds ?? Infinity,
  );
  const spentMilliseconds = context.patience.estimateSpentMilliseconds(
    route,
    metadata.deadlineMilliseconds,
  );
  return Result.ok({
    id: metadata.id,
    configurationVersion: table.configuration.version,
    metadata,
    route,
    service,
    workspace,
    permittedRegions,
    urgency,
    rank: priorityToRank(urgency),
    method: request.method ?? "GET",
    path: request.url ?? "/",
    rawHeaders: request.rawHeaders,
    body: body.value?.bytes,
    startedAt,
    spentBeforeMilliseconds: spentMilliseconds,
    lateAt: startedAt + route.targetMilliseconds - spentMilliseconds,
    deadlineAt: startedAt + patience,
  });
}

/** Size of the request line and the headers as received, in bytes. */
function measureHeadBytes(
  { method, url, rawHeaders }: IncomingMessage,
): number {
  const line = `${method} ${url} HTTP/1.1`.length + LINE_END_BYTES;
  // Each name is followed by a colon and a space, each value by CRLF.
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, line);
}

function matchRoute(
  table: RouteTable,
  request: IncomingMessage,
  metadata: RequestMetadata,
): Result<RouteMatch, CallRefusal> {
  const host = (request.headers.host ?? "").toLowerCase().replace(/:\d+$/, "");
  const route = table.match(host, request.url ?? "/");
  if (route === undefined) return refuse(404, "no route matches");
  if (!table.needsKey(route)) {
    return Result.ok({
      route,
      workspace: undefined,
      urgency: table.urgencies.find(route, undefined),
      permittedRegions: intersectRegions(route.permittedRegions, undefined),
    });
  }
  const workspace = metadata.key === undefined
    ? undefined
    : table.findWorkspaceByKey(metadata.key);
  if (workspace === undefined) return refuse(401, "the key is not known");
  return Result.ok({
    route,
    workspace: workspace.name,
    urgency: table.urgencies.find(route, workspace.priority),
    permittedRegions: intersectRegions(
      route.permittedRegions,
      workspace.permittedRegions,
    ),
  });
}

function priorityToRank(priority: number): number {
  return Math.min(MAX_QUEUE_RANK, Math.max(0, Math.round(priority)));
}

async function readRequestBody(
  { intake }: GatewayContext,
  table: RouteTable,
  request: IncomingMessage,
): Promise<
  Result<
    { bytes: AdmittedCall["body"]; release: () => void } | undefined,
    CallRefusal
  >
> {
  const hasBody = request.headers["content-length"] !== undefined ||
    request.headers["transfer-encoding"] !== undefined;
  if (!hasBody) return Result.ok(undefined);
  const { maxBodyBytes, idleTimeoutMilliseconds } =
    table.configuration.callerLimits;
  const body = await readBody(request, {
    maximumBytes: maxBodyBytes,
    idleMilliseconds: idleTimeoutMilliseconds,
    intake,
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
