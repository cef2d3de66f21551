"""The commands of `molereach fleet`.

In reading order: `status`, `servers` (members, quota), `orders`, `watch`, `give` (drain, undrain, hold,
release), `group` (the command group).
"""
