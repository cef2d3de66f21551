"""`python -m rig`: the demo, which `molereach demo` becomes."""

import sys

from rig.demo import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
