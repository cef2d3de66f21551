"""What may be out together: each rule a pure function of a scene and one work, that says yes or names what
stops it.

Read `facts`, `settings` and `scene` (what is judged by), then the rules: `window`, `seasons`, `orders`,
`first`, `apart`, `limits`, `left` with `floor` and `room`, `sets`, `panel`, `standing`; last `judge`, which
asks them in one order.
"""
