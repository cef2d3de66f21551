"""The edge to the platform: settings, load reports and gossip, from its field names to the policy's types.

In reading order: `settings_reader`, `settings`, `load_reports`, `gossip_codec`.
"""
