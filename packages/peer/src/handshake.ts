/**
 * Mutual authentication: two processes prove to each other that they hold the shared secret, without sending it.
 *
 * Each side sends a hello with a fresh nonce, then an HMAC over its own role and the exact bytes of both hellos. The
 * role prevents reflection of a proof to its sender; the nonces prevent replay.
 */
import { PeerHello, PeerProof } from "@rattanquay/schema";
import { Encoder } from "cbor-x";
import { createHmac, timingSafeEqual } from "node:crypto";

export type Role = "dialer" | "listener";

type Step =
    | { readonly kind: "reply"; readonly payload: Buffer }
    | { readonly kind: "authenticated"; readonly peer: PeerHello; readonly version: number }
    | { readonly kind: "failed"; readonly reason: string };

export type Handshake = {
    readonly hello: Buffer;
    /** Handles the other side's next payload. */
    readonly handle: (payload: Buffer) => Step;
};

type Options = { readonly role: Role; readonly own: PeerHello; readonly secret: string };

const otherRole: Record<Role, Role> = { dialer: "listener", listener: "dialer" };

export function makeHandshake({ role, own, secret }: Options): Handshake {
    const codec = new Encoder({ useRecords: false });
    const hello = codec.encode(own);
    let theirs: { readonly bytes: Buffer; readonly hello: PeerHello; readonly version: number } | undefined;

    const handleHello = (payload: Buffer): Step => {
        const parsed = PeerHello.safeParse(tryDecode(codec, payload));
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

    const handleProof = (payload: Buffer, { bytes, hello: peer, version }: NonNullable<typeof theirs>): Step => {
        const parsed = PeerProof.safeParse(tryDecode(codec, payload));
        const expected = proofOf(secret, otherRole[role], bytes, hello);
        return parsed.success && isEqual(parsed.data.proof, expected)
            ? { kind: "authenticated", peer, version }
            : { kind: "failed", reason: "the peer does not hold the shared secret" };
    };

    return { hello, handle: payload => theirs === undefined ? handleHello(payload) : handleProof(payload, theirs) };
}

/** The highest protocol version that both sides support, so that two releases can run side by side. */
function commonVersion(own: PeerHello, theirs: PeerHello): number | undefined {
    const version = Math.min(own.highestVersion, theirs.highestVersion);
    return version >= Math.max(own.lowestVersion, theirs.lowestVersion) ? version : undefined;
}

/** `sender` and `receiver` are the hellos of the side that sends the proof and of the side that verifies it. */
function proofOf(secret: string, role: Role, sender: Buffer, receiver: Buffer): string {
    const lengths = Buffer.alloc(8);
    lengths.writeUInt32BE(sender.length, 0);
    lengths.writeUInt32BE(receiver.length, 4);
    return createHmac("sha256", secret).update(role).update(lengths).update(sender).update(receiver).digest("hex");
}

function isEqual(given: string, expected: string): boolean {
    const [left, right] = [Buffer.from(given), Buffer.from(expected)];
    return left.length === right.length && timingSafeEqual(left, right);
}

function tryDecode(codec: Encoder, payload: Buffer): unknown {
    try {
        return codec.decode(payload);
    }
    catch {
        return undefined;
    }
}
