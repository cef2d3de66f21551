"""The auditor: finds one outcome for every request and checks five rules.

It relies on facts that clients, servers and discovery recorded, not on what front doors say of themselves.

In reading order: `figures` (parameters of the rules), `ledger` (outcomes and violations), `requests` and
`doors` (facts about each request, and starts and ends of each front door), `outcomes` (rule 1), `effects`
(rule 2), `servers` (rules 3 and 4), `ceilings` (rule 5), `quotas` (measured, not a rule), `auditor` (takes
facts and returns the ledger).
"""
