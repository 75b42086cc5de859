/** The spoiled answers have a right head, and a body that goes on without end until the caller closes. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase } from "../lib/case.mjs";
import { headersOf, soundBody } from "../lib/replica.mjs";
import { playSpoiled } from "../lib/spoiledAnswers.mjs";

const blockBytes = 32_768;
const blockEveryMs = 4;

/** 8 MB a second, an eighth of a machine's link. */
function endlessAnswer(request, response) {
    response.writeHead(200, headersOf(request));
    response.write(soundBody(request));
    let isBlocked = false;
    const timer = setInterval(() => {
        if (!isBlocked) {
            isBlocked = !response.write("A".repeat(blockBytes));
        }
    }, blockEveryMs);
    response.on("drain", () => {
        isBlocked = false;
    });
    response.on("close", () => clearInterval(timer));
}

await runCase(dirname(fileURLToPath(import.meta.url)), playSpoiled(endlessAnswer));
