/** All commands, in the order of the help output. */
import { type Command } from "../runCommand";
import { explain } from "./explain";
import { keyHash } from "./keyHash";
import { recall } from "./recall";
import { serve } from "./serve";
import { settingsCheck } from "./settingsCheck";
import { status } from "./status";
import { ticketCheck } from "./ticketCheck";
import { ticketDiff } from "./ticketDiff";
import { ticketList } from "./ticketList";
import { ticketShow } from "./ticketShow";
import { ticketStatus } from "./ticketStatus";
import { ticketSubmit } from "./ticketSubmit";
import { version } from "./version";

export const commands: readonly Command[] = [
    serve,
    settingsCheck,
    ticketCheck,
    ticketDiff,
    ticketSubmit,
    ticketStatus,
    ticketList,
    ticketShow,
    recall,
    status,
    explain,
    keyHash,
    version,
];
