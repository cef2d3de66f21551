"""The commands of `molereach fleet`.

In reading order: `status`, `seen` (members, quota), `orders`, `watch`, `give` (drain, undrain, hold,
release), `group` (all of them).
"""
