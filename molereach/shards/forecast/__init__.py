"""Forecast of each shard's size, with an interval. It runs in a process of its own, never in a front door's.

Read `growth` (bytes per day from the counts), `effects` (weekday, khareef, tariffs), `step_changes`
(detection of tariff changes), `model` (the structural time series and its simulated paths) and
`size_forecast` (quantiles, and the reasons for a wide interval).
"""
