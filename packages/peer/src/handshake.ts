/**
 * Two processes prove to each other that they hold the shared secret, without showing it.
 *
 * Each side sends a hello with a fresh nonce, then an HMAC over its own role and the exact bytes of both hellos. The role
 * keeps a proof from being sent back to its maker; the nonces keep it from being used again.
 */
import { PeerHello, PeerProof } from "@rattanquay/schema";
import { Encoder } from "cbor-x";
import { createHmac, timingSafeEqual } from "node:crypto";

export type Role = "dialer" | "listener";

type Step =
    | { readonly kind: "reply"; readonly payload: Buffer }
    | { readonly kind: "proved"; readonly peer: PeerHello; readonly version: number }
    | { readonly kind: "failed"; readonly reason: string };

export type Handshake = {
    readonly hello: Buffer;
    /** Takes the other side's next payload. */
    readonly take: (payload: Buffer) => Step;
};

type Options = { readonly role: Role; readonly own: PeerHello; readonly secret: string };

const otherRole: Record<Role, Role> = { dialer: "listener", listener: "dialer" };

export function makeHandshake({ role, own, secret }: Options): Handshake {
    const codec = new Encoder({ useRecords: false });
    const hello = codec.encode(own);
    let theirs: { readonly bytes: Buffer; readonly hello: PeerHello; readonly version: number } | undefined;

    const takeHello = (payload: Buffer): Step => {
        const parsed = PeerHello.safeParse(decodeOr(codec, payload));
        if (!parsed.success) {
            return { kind: "failed", reason: "the first frame is not a hello" };
        }
        const version = commonVersion(own, parsed.data);
        if (version === undefined) {
            return { kind: "failed", reason: "no common protocol version" };
        }
        const bytes = Buffer.from(payload);
        theirs = { bytes, hello: parsed.data, version };
        return { kind: "reply", payload: codec.encode({ proof: proofOf(secret, role, hello, bytes) }) };
    };

    const takeProof = (payload: Buffer, { bytes, hello: peer, version }: NonNullable<typeof theirs>): Step => {
        const parsed = PeerProof.safeParse(decodeOr(codec, payload));
        const expected = proofOf(secret, otherRole[role], bytes, hello);
        return parsed.success && isSame(parsed.data.proof, expected)
            ? { kind: "proved", peer, version }
            : { kind: "failed", reason: "the peer does not hold the shared secret" };
    };

    return { hello, take: payload => theirs === undefined ? takeHello(payload) : takeProof(payload, theirs) };
}

/** The highest version that both sides speak, so that two releases can run side by side. */
function commonVersion(own: PeerHello, theirs: PeerHello): number | undefined {
    const version = Math.min(own.highestVersion, theirs.highestVersion);
    return version >= Math.max(own.lowestVersion, theirs.lowestVersion) ? version : undefined;
}

/** `sender` and `receiver` are the hellos of the side that proves and of the side that checks. */
function proofOf(secret: string, role: Role, sender: Buffer, receiver: Buffer): string {
    const lengths = Buffer.alloc(8);
    lengths.writeUInt32BE(sender.length, 0);
    lengths.writeUInt32BE(receiver.length, 4);
    return createHmac("sha256", secret).update(role).update(lengths).update(sender).update(receiver).digest("hex");
}

function isSame(given: string, expected: string): boolean {
    const [left, right] = [Buffer.from(given), Buffer.from(expected)];
    return left.length === right.length && timingSafeEqual(left, right);
}

function decodeOr(codec: Encoder, payload: Buffer): unknown {
    try {
        return codec.decode(payload);
    }
    catch {
        return undefined;
    }
}
