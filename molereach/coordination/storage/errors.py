"""Exceptions raised by the storage package."""

from molereach.coordination.errors import CoordinationError


class StorageError(CoordinationError):
    """Base class of the exceptions of this package."""


class FolderError(StorageError):
    """The folder cannot be opened or written; the message is one line with the path."""


class InvalidFileError(StorageError, ValueError):
    """A file of the folder is missing or invalid; once a folder is read, the message begins with its name."""


class DamagedTailError(StorageError, ValueError):
    """Synced records are damaged or missing; the message says where."""


class FileSystemError(StorageError, OSError):
    """A system call failed; `filename` is the file's name within the folder."""
