"""The errors of storage."""

from molereach.coordination.errors import CoordinationError


class StorageError(CoordinationError):
    """Base class of the errors of storage."""


class FolderError(StorageError):
    """The folder cannot be opened or written; the text is one line that names the file."""


class InvalidFileError(StorageError, ValueError):
    """A file of the set is missing or wrong; the text starts with its name."""


class DamagedTailError(StorageError, ValueError):
    """Records that were synced are not there any more; the text says where."""


class FileSystemError(StorageError, OSError):
    """A system call failed; `filename` is the file's name within the folder."""
