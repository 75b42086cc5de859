/** Implements `Table` with the AWS SDK's DynamoDB client. */
import {
    type AttributeValue,
    DynamoDBClient,
    GetItemCommand,
    QueryCommand,
    type TransactWriteItem,
    TransactWriteItemsCommand,
} from "@aws-sdk/client-dynamodb";
import {
    type Condition,
    type KeyedRow,
    type Row,
    type RowKey,
    type Table,
    type TableOutcome,
    type Write,
} from "./table";

type Options = {
    readonly endpoint: string;
    readonly region: string;
    readonly tableName: string;
    /** Time for a connection, time without a byte of an answer, and time for a whole transaction. */
    readonly timeoutMs: number;
    /** Time for a whole read or list that goes on arriving. */
    readonly longestReadMs?: number;
    /** Credentials; if absent, the SDK reads its usual environment variables. */
    readonly credentials?: { readonly accessKeyId: string; readonly secretAccessKey: string };
};

/** A large configuration takes seconds over a slow link, so a list is not given up while its pages go on arriving. */
const defaultLongestReadMs = 30_000;
/** Attempts at a page after the first one, so that a list does not start over when one page is not answered. */
const pageAttempts = 3;

/** Names of the errors that DynamoDB returns for a failed condition or a conflicting transaction. */
const conflictErrorNames = new Set([
    "TransactionCanceledException",
    "ConditionalCheckFailedException",
    "TransactionConflictException",
]);

/** Silences the SDK's notice about later versions: the lock file pins the version, and the notice clutters the logs. */
const versionWarningVariable = "AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED";

/**
 * Creates the client. It repeats only single pages of a list that has begun; for all other calls, the callers decide
 * which may be repeated.
 */
export function makeDynamoTable(options: Options): Table {
    process.env[versionWarningVariable] ??= "true";
    const client = new DynamoDBClient({
        endpoint: options.endpoint,
        region: options.region,
        maxAttempts: 1,
        requestHandler: { connectionTimeout: options.timeoutMs, socketTimeout: options.timeoutMs },
        ...(options.credentials === undefined ? {} : { credentials: options.credentials }),
    });
    const longestReadMs = options.longestReadMs ?? defaultLongestReadMs;
    const run = async <T>(
        longestMs: number,
        call: (abortSignal: AbortSignal) => Promise<T>,
    ): Promise<TableOutcome<T>> => {
        try {
            return { kind: "done", value: await call(AbortSignal.timeout(longestMs)) };
        }
        catch (error) {
            return failureFromError(error);
        }
    };
    return {
        read: key =>
            run(longestReadMs, async abortSignal => {
                const command = new GetItemCommand({
                    TableName: options.tableName,
                    Key: toKeyAttributes(key),
                    ConsistentRead: true,
                });
                const { Item } = await client.send(command, { abortSignal });
                return Item === undefined ? undefined : fromItem(Item);
            }),
        list: partition =>
            run(longestReadMs, abortSignal => listAll(client, options.tableName, partition, abortSignal)),
        transact: (writes, requestToken) =>
            run(options.timeoutMs, async abortSignal => {
                const TransactItems = writes.map(write => toTransactItem(options.tableName, write));
                await client.send(new TransactWriteItemsCommand({ TransactItems, ClientRequestToken: requestToken }), {
                    abortSignal,
                });
            }),
        stop: () => client.destroy(),
    };
}

async function listAll(
    client: DynamoDBClient,
    tableName: string,
    partition: string,
    abortSignal: AbortSignal,
): Promise<readonly KeyedRow[]> {
    const readPage = (startKey: Record<string, AttributeValue> | undefined) =>
        client.send(
            new QueryCommand({
                TableName: tableName,
                KeyConditionExpression: "#partition = :partition",
                ExpressionAttributeNames: { "#partition": "partition" },
                ExpressionAttributeValues: { ":partition": { S: partition } },
                ConsistentRead: true,
                ExclusiveStartKey: startKey,
            }),
            { abortSignal },
        );
    let page = await readPage(undefined);
    const rows = (page.Items ?? []).map(fromItem);
    while (page.LastEvaluatedKey !== undefined) {
        const startKey = page.LastEvaluatedKey;
        page = await repeatRead(() => readPage(startKey), abortSignal);
        rows.push(...(page.Items ?? []).map(fromItem));
    }
    return rows;
}

/** Repeats a failed read up to `pageAttempts` attempts, or until it is aborted. */
async function repeatRead<T>(read: () => Promise<T>, abortSignal: AbortSignal): Promise<T> {
    for (let attempt = 1; attempt < pageAttempts && !abortSignal.aborted; attempt++) {
        try {
            return await read();
        }
        catch {
            // The last attempt's error is the one that is reported.
        }
    }
    return read();
}

function failureFromError(error: unknown): TableOutcome<never> {
    const { name, message } = error as Error;
    return conflictErrorNames.has(name) ? { kind: "conflict" } : { kind: "unavailable", reason: `${name}: ${message}` };
}

function toKeyAttributes(key: RowKey): Record<string, AttributeValue> {
    return { partition: { S: key.partition }, key: { S: key.key } };
}

function toItem(key: RowKey, row: Row): Record<string, AttributeValue> {
    return {
        ...toKeyAttributes(key),
        version: { N: String(row.version) },
        token: { S: row.token },
        body: { S: JSON.stringify(row.body) },
        ...(row.fence === undefined ? {} : { fence: { N: String(row.fence) } }),
    };
}

function fromItem(item: Record<string, AttributeValue>): KeyedRow {
    return {
        partition: item.partition?.S ?? "",
        key: item.key?.S ?? "",
        version: Number(item.version?.N),
        token: item.token?.S ?? "",
        body: JSON.parse(item.body?.S ?? "null"),
        ...(item.fence?.N === undefined ? {} : { fence: Number(item.fence.N) }),
    };
}

type Expression = {
    readonly ConditionExpression: string;
    readonly ExpressionAttributeNames: Record<string, string>;
    readonly ExpressionAttributeValues?: Record<string, AttributeValue>;
};

const conditionExpressions = {
    absent: () => ({
        ConditionExpression: "attribute_not_exists(#field)",
        ExpressionAttributeNames: { "#field": "key" },
    }),
    versionIs: condition => equals("version", condition.version),
    fenceIs: condition => equals("fence", condition.fence),
} satisfies { [K in Condition["kind"]]: (condition: Extract<Condition, { kind: K }>) => Expression };

function equals(field: string, value: number): Expression {
    return {
        ConditionExpression: "#field = :value",
        ExpressionAttributeNames: { "#field": field },
        ExpressionAttributeValues: { ":value": { N: String(value) } },
    };
}

function expressionOf(condition: Condition | undefined): Partial<Expression> {
    if (condition === undefined) {
        return {};
    }
    return (conditionExpressions[condition.kind] as (condition: Condition) => Expression)(condition);
}

const transactItems = {
    put: (TableName, write) => ({
        Put: { TableName, Item: toItem(write.at, write.row), ...expressionOf(write.condition) },
    }),
    remove: (TableName, write) => ({
        Delete: { TableName, Key: toKeyAttributes(write.at), ...expressionOf(write.condition) },
    }),
    check: (TableName, write) => ({
        ConditionCheck: { TableName, Key: toKeyAttributes(write.at), ...expressionOf(write.condition) as Expression },
    }),
} satisfies { [K in Write["kind"]]: (tableName: string, write: Extract<Write, { kind: K }>) => TransactWriteItem };

function toTransactItem(tableName: string, write: Write): TransactWriteItem {
    return (transactItems[write.kind] as (tableName: string, write: Write) => TransactWriteItem)(tableName, write);
}
