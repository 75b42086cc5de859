/**
 * Another writer puts an entry under `servers/`: several fields are missing, and its name is no name of a replica. The
 * entry stays. The replicas and the clients are sound.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { hasTrouble, runCase } from "../lib/case.mjs";
import { engineService, startEngine } from "../lib/engine.mjs";
import { playKeptClients } from "../lib/keptClients.mjs";
import { sleep } from "../lib/system.mjs";

const service = "models";
const troubleMs = 8_000;
/** The pages call keys of rows texts of at most 200 bytes. */
const foreignKey = "replică-de-probă";

await runCase(
    dirname(fileURLToPath(import.meta.url)),
    playKeptClients({
        extraServices: [engineService(service)],
        prepare: async ({ store, note, atEnd }) => {
            for (const id of ["e-1", "e-2"]) {
                const engine = await startEngine({ id, service, zone: "zone-a", store, note });
                atEnd(engine.close);
            }
        },
        isSound: () => true,
        disturb: async ({ store, note }) => {
            if (hasTrouble) {
                // `version`, `cold_remaining_ms`, `phase` and `sequence` are missing.
                const entry = {
                    service,
                    address: "127.0.0.1:9",
                    zone: "zone-a",
                    slots: 12,
                    state: "ready",
                    born: 1_765_000_000_000,
                };
                store.put("servers", foreignKey, entry);
                note(`another writer has put servers/${foreignKey}: ${JSON.stringify(entry)}`);
            }
            await sleep(troubleMs);
        },
    }),
);
