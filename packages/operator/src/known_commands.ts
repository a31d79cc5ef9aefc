/** All commands of the client, used to suggest one for a mistyped name. */
export const knownCommands = [
  "contract create",
  "contract change",
  "contract retire",
  "contract show",
  "contract list",
  "weights publish",
  "weights status",
  "backend list",
  "backend drain",
  "evacuation begin",
  "evacuation end",
  "evacuation list",
  "member replace",
  "entry remove",
  "status",
  "timeline",
];
