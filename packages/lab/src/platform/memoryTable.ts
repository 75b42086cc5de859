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

/** A page ends after the item that reaches this size, as in DynamoDB. */
const defaultPageBytes = 1_048_576;

const idOf = (key: Item): string => `${key.partition?.S}\u0000${key.key?.S}`;

/** Runs operations by name and returns what the API would answer. */
export class MemoryTable {
    private readonly items = new Map<string, Item>();
    private readonly requestTokens = new Set<string>();
    constructor(private readonly pageBytes = defaultPageBytes) {}

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
        Query: (
            input: {
                readonly ExpressionAttributeValues: Record<string, Attribute>;
                readonly ExclusiveStartKey?: Item;
            },
        ) => {
            this.counts.reads++;
            const partition = input.ExpressionAttributeValues[":partition"]?.S;
            const found = [...this.items.values()].filter(item => item.partition?.S === partition);
            const sorted = found.sort((a, b) => (a.key?.S ?? "") < (b.key?.S ?? "") ? -1 : 1);
            const startKey = input.ExclusiveStartKey?.key?.S;
            return {
                kind: "done",
                body: this.pageOf(startKey === undefined ? sorted : sorted.filter(({ key }) => key!.S! > startKey)),
            };
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

    private pageOf(items: readonly Item[]): unknown {
        let bytes = 0;
        const Items: Item[] = [];
        while (Items.length < items.length && bytes < this.pageBytes) {
            const item = items[Items.length]!;
            bytes += JSON.stringify(item).length;
            Items.push(item);
        }
        const { partition, key } = Items.at(-1) ?? {};
        const isLast = Items.length === items.length;
        return { Items, Count: Items.length, ...(isLast ? {} : { LastEvaluatedKey: { partition, key } }) };
    }

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
