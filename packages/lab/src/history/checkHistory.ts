/** Checks a history against the invariants of requests, executions and outcomes. */
import { type Answer, type Execution, type History, type Request } from "./history";

export type Violation = { readonly rule: keyof typeof rules; readonly subject: string; readonly detail: string };

type Finding = Omit<Violation, "rule">;
type Index = {
    readonly requestOf: ReadonlyMap<string, Request>;
    readonly runsOfRequest: ReadonlyMap<string, readonly Execution[]>;
    readonly runsOfCall: ReadonlyMap<string, readonly Execution[]>;
};
type Rule = (history: History, index: Index) => readonly Finding[];

/** All violations of the rules; empty when the history is valid. */
export function checkHistory(history: History): readonly Violation[] {
    const index: Index = {
        requestOf: new Map(history.requests.map(request => [request.requestId, request])),
        runsOfRequest: groupBy(history.executions, execution => execution.requestId),
        runsOfCall: groupBy(history.executions, execution => execution.call),
    };
    return ruleNames.flatMap(rule => rules[rule](history, index).map(finding => ({ rule, ...finding })));
}

const rules = {
    /** A call that may not be repeated is executed at most once, over all requests for it. */
    atMostOnce: ({ requests }, { runsOfCall }) => {
        const calls = new Set(requests.filter(request => !request.isRepeatable).map(request => request.call));
        return [...calls].flatMap(call => {
            const runs = runsOfCall.get(call) ?? [];
            return runs.length <= 1
                ? []
                : [{ subject: call, detail: `ran ${runs.length} times: ${describeExecutions(runs)}` }];
        });
    },
    /** A request that was answered with "not run" was executed at no upstream. */
    trueRefusal: ({ answers }, { runsOfRequest }) =>
        answers.filter(answer => answer.ending === "notRun").flatMap(({ requestId }) => {
            const runs = runsOfRequest.get(requestId) ?? [];
            return runs.length === 0
                ? []
                : [{ subject: requestId, detail: `refused as not run, ran: ${describeExecutions(runs)}` }];
        }),
    /** An answer that ended cleanly is the complete answer to its own request. */
    ownAndWhole: ({ answers }, { requestOf }) =>
        answers.filter(answer => answer.isWhole).flatMap(answer => {
            const request = requestOf.get(answer.requestId);
            return request !== undefined && isOwnAnswer(request, answer)
                ? []
                : [{ subject: answer.requestId, detail: `answered with "${answer.text.slice(0, 80)}"` }];
        }),
    /** A partial answer is a prefix of the request's expected answer. */
    ownPart: ({ answers }, { requestOf }) =>
        answers.filter(answer => !answer.isWhole).flatMap(({ requestId, text }) => {
            const expected = requestOf.get(requestId)?.expectedText;
            return expected === undefined || expected.startsWith(text)
                ? []
                : [{ subject: requestId, detail: `was sent "${text.slice(0, 80)}"` }];
        }),
    /** A call that was answered was executed. */
    answeredHasRun: ({ answers }, { requestOf, runsOfCall }) =>
        answers.filter(answer => answer.ending === "answered").flatMap(({ requestId }) =>
            runsOfCall.has(requestOf.get(requestId)?.call ?? "") ? [] : [{ subject: requestId, detail: "never ran" }]
        ),
    /** All answers to a call that may not be repeated are equal. */
    sameAnswer: ({ answers }, { requestOf }) => {
        const answered = answers.filter(answer =>
            answer.ending === "answered" && requestOf.get(answer.requestId)?.isRepeatable === false
        );
        const byCall = groupBy(answered, answer => requestOf.get(answer.requestId)!.call);
        return [...byCall].filter(([, same]) => new Set(same.map(answer => answer.text)).size > 1)
            .map(([call, same]) => ({ subject: call, detail: `has ${same.length} answers that differ` }));
    },
    /** Each request ends exactly once. */
    endsOnce: ({ requests, answers }) => {
        const byRequest = groupBy(answers, answer => answer.requestId);
        return requests.filter(request => byRequest.get(request.requestId)?.length !== 1)
            .map(({ requestId }) => ({
                subject: requestId,
                detail: `ended ${byRequest.get(requestId)?.length ?? 0} times`,
            }));
    },
} satisfies Record<string, Rule>;

const ruleNames = Object.keys(rules) as (keyof typeof rules)[];

function isOwnAnswer(request: Request, answer: Answer): boolean {
    return request.expectedText === undefined
        ? answer.text.includes(`"${request.call}"`)
        : answer.text === request.expectedText;
}

function describeExecutions(runs: readonly Execution[]): string {
    return runs.map(run => `${run.attemptId} at ${run.upstream}`).join(", ");
}

function groupBy<T>(items: readonly T[], keyOf: (item: T) => string): ReadonlyMap<string, readonly T[]> {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const key = keyOf(item);
        groups.set(key, [...groups.get(key) ?? [], item]);
    }
    return groups;
}
