"""What a front door keeps of answers, by member: bounded in bytes in all and by member, and by age.

Read `settings`, `reading`, `marks` (the newest purges that were applied here), `store`, `sweeps`.
"""
