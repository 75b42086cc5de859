/** Reads the target of a request, which names the host too in its absolute form. */

const absoluteForm = /^https?:\/\/([^/?#]*)(.*)$/i;

/**
 * Returns the path and the query of a target. A target in absolute form whose host differs from the `Host` header is returned
 * as it is, so that no upstream gets it under a host that decided nothing.
 */
export function pathOfTarget(target: string, hostHeader: string | undefined): string {
    const [, authority, rest] = absoluteForm.exec(target) ?? [];
    if (authority === undefined || rest === undefined || authority.toLowerCase() !== hostHeader?.toLowerCase()) {
        return target;
    }
    return rest.startsWith("/") ? rest : `/${rest}`;
}
