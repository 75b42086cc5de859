import { callOperator, operatorUsage, parseOperatorArgs } from "../operatorClient";
import { type Command } from "../runCommand";
import { printResponse } from "./report";

type Status = {
    readonly process: string;
    readonly availabilityZone: string;
    readonly holdsLease: boolean;
    readonly config: { readonly revision: number; readonly highestTicket: number; readonly confirmedMsAgo: number };
    readonly services: readonly {
        readonly service: string;
        readonly kind: string;
        readonly declared: number;
        readonly serving: number;
    }[];
    readonly groups: readonly {
        readonly group: string;
        readonly standing: string;
        readonly reason?: string;
        readonly members: readonly { readonly instance: string; readonly evidenceMsAgo?: number }[];
    }[];
};

export const status: Command = {
    name: "status",
    usage: `status ${operatorUsage}`,
    summary:
        "Show services, replicas, groups and peers as known to one entry instance, and the age of that information.",
    run: async args => {
        const { connection, json } = parseOperatorArgs(args);
        return printResponse(await callOperator(connection, "/v1/status"), json, render);
    },
};

function render(snapshot: Status): string {
    const { config } = snapshot;
    return [
        `${snapshot.process} in ${snapshot.availabilityZone}${snapshot.holdsLease ? ", holds the control lease" : ""}`,
        `configuration: revision ${config.revision}, confirmed ${config.confirmedMsAgo} ms ago`,
        "services:",
        ...snapshot.services.map(({ service, kind, declared, serving }) =>
            `  ${service}  ${kind}  ${serving} of ${declared} serving here`
        ),
        "groups:",
        ...snapshot.groups.map(renderGroup),
    ].join("\n");
}

function renderGroup({ group, standing, reason, members }: Status["groups"][number]): string {
    const ages = members.map(({ instance, evidenceMsAgo }) =>
        `${instance} (${evidenceMsAgo === undefined ? "no evidence" : `${evidenceMsAgo} ms`})`
    );
    return `  ${group}  ${standing}${reason === undefined ? "" : `: ${reason}`}  ${ages.join(", ")}`;
}
