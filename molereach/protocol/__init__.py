"""Translates the platform's settings, load reports and gossip datagrams into the policy's types.

In reading order: `settings_reader`, `settings`, `load_reports`, `gossip_codec`.
"""
