"""`python -m rig`: the same command as `molereach demo`."""

import sys

from rig.demo import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
