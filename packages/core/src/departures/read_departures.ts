import type { Command } from "../state/command.ts";
import type { Departure } from "./departure.ts";

const FIRST_BYTES = new TextEncoder().encode('{"kind":"record-departures"');

/**
 * Departures in an encoded command; none in any other kind, which isn't decoded
 * for it. Commands are encoded with their kind first.
 */
export function readDepartures(bytes: Uint8Array): Departure[] {
  if (FIRST_BYTES.some((byte, index) => bytes[index] !== byte)) return [];
  const command = JSON.parse(new TextDecoder().decode(bytes)) as Command;
  if (command.kind !== "record-departures") return [];
  const { departures, at } = command;
  return departures.map((departure) => ({ ...departure, at }));
}
