/** Each relative link in the pages leads to an existing file. */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";

const pages = ["README.md", "DEVELOPERS.md", "CHANGELOG.md"].concat(
    readdirSync("docs", { recursive: true, encoding: "utf8" }).filter(path => path.endsWith(".md")).map(path =>
        `docs/${path}`
    ),
);

for (const file of pages) {
    test(`each link in ${file} leads to an existing file`, () => {
        const links = [...readFileSync(file, "utf8").matchAll(/\]\((?!https?:)([^)#]+)[^)]*\)/g)].map(match =>
            match[1]!
        );
        assert.equal(links.filter(link => !existsSync(join(dirname(file), link))), []);
    });
}

test.run();
