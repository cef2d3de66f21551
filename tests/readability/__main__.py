"""Prints what packages still lack: `python -m tests.readability molereach/policy`."""

import sys
from pathlib import Path

from tests.readability.packages import package_at, structural_faults, unused_exceptions, withdrawn_names

for argument in sys.argv[1:]:
    package = package_at(Path(argument))
    for line in [*withdrawn_names(package), *structural_faults(package)]:
        print(line)
    for exception in unused_exceptions(package):
        print(f"{argument}: exception that nothing needs: {exception}")
