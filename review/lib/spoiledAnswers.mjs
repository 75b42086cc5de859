/** The play of the cases in which one of three replicas spoils 2 in 100 of its answers for some seconds. */
import { hasTrouble } from "./case.mjs";
import { playKeptClients } from "./keptClients.mjs";
import { soundAnswer } from "./replica.mjs";
import { sleep } from "./system.mjs";

const workMs = 60;
const troubleMs = 5_500;
/** One answer in so many is spoiled: 2 in 100. */
const spoiledEvery = 50;

/** `spoil` answers one request wrongly; it gets the number of the spoiled answer. */
export const playSpoiled = spoil =>
    playKeptClients({
        isSound: (replica, index) => index > 0,
        disturb: async ({ replicas: [spoiling], note }) => {
            const sound = soundAnswer(workMs);
            let answers = 0;
            let spoiled = 0;
            if (hasTrouble) {
                note(`replica ${spoiling.id} begins to spoil answers`);
                spoiling.answer = (request, response) => {
                    answers++;
                    if (answers % spoiledEvery === 0) {
                        spoiled++;
                        note(`replica ${spoiling.id} spoils its answer to ${request.headers["attempt-id"]}`);
                        spoil(request, response, spoiled);
                        return;
                    }
                    sound(request, response);
                };
            }
            await sleep(troubleMs);
            spoiling.answer = sound;
            note(`the trouble is over: ${spoiled} of ${answers} answers of one of three replicas were spoiled`);
        },
    });
