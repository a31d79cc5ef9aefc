import { hashText } from "../random/hash_text.ts";
import type { GatewayView } from "./gateway_view.ts";

/**
 * Number of the slots of a cold backend server that fall to one gateway. If
 * there are fewer than gateways, those whose hash with the server's name is
 * highest have one each: any gateway that knows of all others, and maybe of
 * more, finds itself among them only if it is.
 *
 * @param slots requests that all gateways together may send in a second.
 * @param own `hashText` of this gateway's name.
 */
export function findColdPart(
  { heard, unheard }: GatewayView,
  { slots, instance, own }: { slots: number; instance: string; own: number },
): number {
  if (!heard.includes(own)) return 0;
  const held = unheard.reduce(
    (sum, gateways) => sum + Math.max(1, Math.floor(slots / gateways)),
    0,
  );
  const left = slots - held;
  if (heard.length <= left) return Math.floor(left / heard.length);
  const seed = hashText(instance);
  const score = mix(own, seed);
  const atLeastAsHigh = heard.filter((each) => mix(each, seed) >= score).length;
  return atLeastAsHigh <= left ? 1 : 0;
}

/** A bijection of 32-bit integers for each seed (MurmurHash3's last steps). */
function mix(value: number, seed: number): number {
  let mixed = (value ^ seed) >>> 0;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
