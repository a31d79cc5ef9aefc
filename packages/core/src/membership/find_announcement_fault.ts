import { LAST_SEQUENCE } from "../departures/last_sequence.ts";
import { announcementBounds as bounds } from "./announcement_bounds.ts";
import type { BackendAnnouncement } from "./backend_announcement.ts";
import { isServerAddress } from "./is_server_address.ts";

/**
 * Names the first field of an announcement that can't be right; undefined if it
 * may be used. Load pattern: another writer leaves an odd entry among those of
 * the backend servers, and each host that reads it is asked for requests.
 */
export function findAnnouncementFault(
  announcement: BackendAnnouncement,
): string | undefined {
  const { instance, service, dataCentre, address, models } = announcement;
  if (!isName(instance)) return "instance";
  if (!isName(service)) return "service";
  if (dataCentre.length > bounds.maxNameCharacters) return "data centre";
  if (!isServerAddress(address)) return "address";
  if (!isWithin(announcement.slots, bounds.maxSlots)) return "slots";
  if (!isWhole(announcement.bornAt, bounds.maxBornAt)) return "start time";
  if (!hasSequence(announcement)) return "sequence";
  const { maxColdMilliseconds, maxModels, maxNameCharacters } = bounds;
  if (!isWithin(announcement.coldMilliseconds, maxColdMilliseconds)) {
    return "cold time";
  }
  const areUsable = models.length <= maxModels &&
    models.every(({ name, version }) =>
      name.length <= maxNameCharacters &&
      isWhole(version, Number.MAX_SAFE_INTEGER)
    );
  return areUsable ? undefined : "models";
}

function isName(text: string): boolean {
  return text !== "" && text.length <= bounds.maxNameCharacters;
}

function isWithin(value: number, maximum: number): boolean {
  return value >= 0 && value <= maximum;
}

function isWhole(value: number, maximum: number): boolean {
  return Number.isSafeInteger(value) && isWithin(value, maximum);
}

/** Hosts themselves end an instance with the last of all sequences. */
function hasSequence({ sequence, state }: BackendAnnouncement): boolean {
  return isWhole(sequence, bounds.maxSequence) ||
    state === "gone" && sequence === LAST_SEQUENCE;
}
