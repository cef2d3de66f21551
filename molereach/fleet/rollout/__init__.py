"""An order's way through the fleet, from the tool that gives it to the last front door's word: cores.

In reading order: `events` (what is handed in and out), `report` (how it ended), `sight` (what agents have
said), `judgment` (the order against the furthest book), `ballots` (having it agreed), `account` (what can be
said of the end), `course` (the stages).
"""
