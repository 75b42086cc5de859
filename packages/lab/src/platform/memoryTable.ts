/** An in-memory table with the part of the DynamoDB API that the product uses. */

type Attribute = { readonly S?: string; readonly N?: string };
type Item = Record<string, Attribute>;

type ConditionalWrite = {
    readonly ConditionExpression?: string;
    readonly ExpressionAttributeNames?: Record<string, string>;
    readonly ExpressionAttributeValues?: Record<string, Attribute>;
};

type TransactItem = {
    readonly Put?: ConditionalWrite & { readonly Item: Item };
    readonly Delete?: ConditionalWrite & { readonly Key: Item };
    readonly ConditionCheck?: ConditionalWrite & { readonly Key: Item };
};

type Failure = { readonly kind: "failed"; readonly type: string; readonly message: string };
type Result = { readonly kind: "done"; readonly body: unknown } | Failure;

const idOf = (key: Item): string => `${key.partition?.S}\u0000${key.key?.S}`;

/** Runs operations by name and returns what the API would answer. */
export class MemoryTable {
    private readonly items = new Map<string, Item>();
    private readonly requestTokens = new Set<string>();
    readonly counts = { reads: 0, writes: 0, conflicts: 0 };

    run(operation: string, input: never): Result {
        const handler = this.handlers[operation];
        return handler === undefined
            ? { kind: "failed", type: "UnknownOperationException", message: operation }
            : handler(input);
    }

    private readonly handlers: Readonly<Record<string, (input: never) => Result>> = {
        GetItem: (input: { readonly Key: Item }) => {
            this.counts.reads++;
            return { kind: "done", body: { Item: this.items.get(idOf(input.Key)) } };
        },
        Query: (input: { readonly ExpressionAttributeValues: Record<string, Attribute> }) => {
            this.counts.reads++;
            const partition = input.ExpressionAttributeValues[":partition"]?.S;
            const found = [...this.items.values()].filter(item => item.partition?.S === partition);
            const Items = found.sort((a, b) => (a.key?.S ?? "") < (b.key?.S ?? "") ? -1 : 1);
            return { kind: "done", body: { Items, Count: Items.length } };
        },
        TransactWriteItems: (
            input: { readonly TransactItems: readonly TransactItem[]; readonly ClientRequestToken?: string },
        ) => {
            this.counts.writes++;
            const { ClientRequestToken: token } = input;
            if (token !== undefined && this.requestTokens.has(token)) {
                return { kind: "done", body: {} };
            }
            if (!input.TransactItems.every(item => this.conditionHolds(item))) {
                this.counts.conflicts++;
                return {
                    kind: "failed",
                    type: "TransactionCanceledException",
                    message: "Transaction cancelled [ConditionalCheckFailed]",
                };
            }
            input.TransactItems.forEach(item => this.apply(item));
            if (token !== undefined) {
                this.requestTokens.add(token);
            }
            return { kind: "done", body: {} };
        },
    };

    private conditionHolds(item: TransactItem): boolean {
        const operation = item.Put ?? item.Delete ?? item.ConditionCheck;
        const key = item.Put?.Item ?? item.Delete?.Key ?? item.ConditionCheck?.Key;
        if (operation?.ConditionExpression === undefined) {
            return true;
        }
        const current = this.items.get(idOf(key!));
        if (operation.ConditionExpression.startsWith("attribute_not_exists")) {
            return current === undefined;
        }
        const field = operation.ExpressionAttributeNames?.["#field"] ?? "";
        return current?.[field]?.N !== undefined
            && current[field].N === operation.ExpressionAttributeValues?.[":value"]?.N;
    }

    private apply(item: TransactItem): void {
        if (item.Put !== undefined) {
            this.items.set(idOf(item.Put.Item), item.Put.Item);
        }
        if (item.Delete !== undefined) {
            this.items.delete(idOf(item.Delete.Key));
        }
    }
}
