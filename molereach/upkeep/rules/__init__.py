"""What may be out together: each rule a pure function of a scene and one work, that says yes or names what
stops it.

Read `facts`, `settings` and `scene` (what is judged by), then the rules: `window`, `seasons`, `orders`,
`first`, `apart`, `limits`, `floor`, `room`, `sets`, `panel`, `standing`; last `judge` (all of them in one
order).
"""
