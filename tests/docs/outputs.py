"""What was printed against what a page shows.

Runs of blanks count as one, as tables are as wide as what is in them; blank lines do not count. What varies
is only what the page's own patterns name: on both sides each match becomes the same sign.
"""

import difflib
import re
from collections.abc import Sequence

SIGN = "\N{WHITE SQUARE}"


def plain(text: str, varies: Sequence[str]) -> list[str]:
    for pattern in varies:
        text = re.sub(pattern, SIGN, text)
    return [line for line in (" ".join(line.split()) for line in text.splitlines()) if line]


def differences(shown: str, printed: str, varies: Sequence[str] = ()) -> list[str]:
    """Lines that differ, `-` shown and `+` printed; and the patterns that match nothing that is shown."""
    unused = [
        f"the pattern '{pattern}' matches nothing that is shown"
        for pattern in varies
        if not re.search(pattern, shown)
    ]
    lines = difflib.ndiff(plain(shown, varies), plain(printed, varies))
    return unused + [line for line in lines if line.startswith(("- ", "+ "))]
