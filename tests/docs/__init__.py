"""The examples on the documents' pages are run. Design: docs/design/examples.md.

`marks` (what a page says of a block), `blocks` (what is on a page), `outputs` (what was printed, compared),
`files` (TOML by the program's own checkers), `given` (files that pages start from), `shell` (a page's
commands, in one folder), `options` (names of commands and options), `page` (all of it for one page).
"""
