"""A fault in a file, with its location."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Finding:
    """A fault at a 1-based line and a path such as ``spec.listen``."""

    file: str
    line: int
    path: str
    code: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.path}: {self.code}: {self.message}"
