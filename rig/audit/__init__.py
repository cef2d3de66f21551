"""The auditor: one outcome for every request, and the five rules, from what others than the doors saw.

In reading order: `figures` (of the rules), `ledger` (outcomes and findings), `requests` and `doors` (the
facts about each request, and each front door's starts and ends), `outcomes` (rule 1), `effects` (rule 2),
`servers` (rules 3 and 4), `ceilings` (rule 5), `quotas` (counted, not judged), `auditor` (facts in, ledger
out).
"""
