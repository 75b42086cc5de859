/** Runs a case: writes `record.txt` beside it, ends what it started, and exits with 0 (held), 1 (broken) or 2. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { CannotRun } from "./system.mjs";

const limitMs = 110_000;

export const hasTrouble = process.env.TROUBLE !== "0";

export async function runCase(folder, play) {
    const startedAt = performance.now();
    const lines = [];
    const note = text => lines.push(`${(Math.round(performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
    const endings = [];
    let code = 2;
    const finish = async () => {
        for (const end of endings.reverse()) {
            await end();
        }
        writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
        process.exit(code);
    };
    process.on("SIGTERM", () => void finish());
    process.on("SIGINT", () => void finish());
    setTimeout(() => {
        note("the case took too long");
        code = 2;
        void finish();
    }, limitMs);
    note(hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    try {
        const broken = await play({ note, atEnd: end => endings.push(end) });
        code = broken.length > 0 ? 1 : 0;
        broken.forEach(text => note(`BROKEN ${text}`));
        note(code === 1 ? "the rule was broken" : "the rule held");
        console.log(code === 1 ? `broken: ${broken[0]}` : "held");
    }
    catch (error) {
        note(`could not run: ${error.stack}`);
        console.log(`could not run: ${error.message}`);
        code = error instanceof CannotRun ? 2 : 2;
    }
    await finish();
}

/** An operator's configuration with routes of plain services, in the shape that PROTOCOL.md shows. */
export function plainConfig(version, { service = "register", extraRoutes = [], extraServices = [], tenants } = {}) {
    const route = (name, type, attempts) => ({
        name: `r-${name}`,
        hostname: "calls.example",
        prefix: `/${name}/`,
        route_type: type,
        timeout_ms: 800,
        target_latency_ms: 193,
        priority: 2,
        service,
        max_attempts: attempts,
        public: false,
    });
    return {
        version,
        routes: [route("lookup", "idempotent", 2), route("order", "non_idempotent", 1), ...extraRoutes],
        services: [
            { name: service, health_path: "/healthz", max_connections: 214, protocol: "h1", tls: false },
            ...extraServices,
        ],
        limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
        ...tenants === undefined ? {} : { tenants },
    };
}
