/** The spoiled answers are bytes that are no response: a status line or a header line that HTTP does not know. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase } from "../lib/case.mjs";
import { headersOf, soundBody } from "../lib/replica.mjs";
import { playSpoiled } from "../lib/spoiledAnswers.mjs";

const linesOf = headers => Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");

/** In turn a status below 100, and a name of a header with a space in it. */
const spoiledHeads = [
    { status: "HTTP/1.1 000 OK", header: "" },
    { status: "HTTP/1.1 200 OK", header: "replica load: 1,0,6\r\n" },
];

function noResponse(request, response, count) {
    const { status, header } = spoiledHeads[count % spoiledHeads.length];
    const body = soundBody(request);
    const { socket } = response;
    socket.write(`${status}\r\n${linesOf(headersOf(request))}${header}content-length: ${body.length}\r\n\r\n${body}`);
    socket.end();
}

await runCase(dirname(fileURLToPath(import.meta.url)), playSpoiled(noResponse));
