"""Which cell keeps which members, by version.

Read `pieces` (a map and its soundness), `lookup` (where a member is), `cutting` (the next version),
`delta` (what changed) and `history` (news for who has an older version).
"""
