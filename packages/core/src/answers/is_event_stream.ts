type Head = {
  contentType: string | undefined;
  contentEncoding: string | undefined;
};

const EVENT_STREAM_TYPE = "text/event-stream";
const NO_ENCODING = "identity";

/**
 * Whether an answer's bytes are server-sent events. Those of an encoded body
 * are not, whatever its type.
 */
export function isEventStream(
  { contentType = "", contentEncoding = NO_ENCODING }: Head,
): boolean {
  if (contentEncoding.trim().toLowerCase() !== NO_ENCODING) return false;
  const [mediaType] = contentType.split(";");
  return mediaType!.trim().toLowerCase() === EVENT_STREAM_TYPE;
}
