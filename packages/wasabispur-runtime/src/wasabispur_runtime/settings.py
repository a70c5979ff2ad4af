"""Load and validate the settings files of all processes."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from wasabispur_core.error import SettingsError

ENVIRONMENT_PREFIX = "WASABISPUR_"
"""Prefix of the environment variables that override top-level fields.

For example, WASABISPUR_HTTP_PORT=8080 overrides the field http_port.
"""


class Settings(BaseModel):
    """Define the base of all settings models; unknown fields are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


SettingsT = TypeVar("SettingsT", bound=Settings)


def load_settings(model: type[SettingsT], path: Path) -> SettingsT:
    """Return the validated settings in a JSON file, with the environment's overrides.

    Raises SettingsError if the file can't be read or its content is not valid.
    """
    content = _read_json(path)
    content.update(_overrides(model))
    try:
        return model.model_validate(content)
    except ValidationError as error:
        raise SettingsError(
            f"settings file {path} is not valid: {_describe(error)}",
            "correct the field and run 'wasabispur check-settings'",
        ) from error


def _read_json(path: Path) -> dict[str, Any]:
    try:
        content = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(
            f"settings file {path} can't be read: {error.strerror}",
            "pass the path of an existing file with --settings",
        ) from error
    except ValueError as error:
        raise SettingsError(
            f"settings file {path} is not JSON: {error}", "correct the file's syntax"
        ) from error
    if not isinstance(content, dict):
        raise SettingsError(
            f"settings file {path} contains no JSON object",
            "write the settings as one JSON object",
        )
    return content


def _overrides(model: type[Settings]) -> dict[str, str]:
    values = {}
    for name in model.model_fields:
        value = os.environ.get(ENVIRONMENT_PREFIX + name.upper())
        if value is not None:
            values[name] = value
    return values


def _describe(error: ValidationError) -> str:
    problems = []
    for problem in error.errors(include_url=False):
        field = ".".join(str(part) for part in problem["loc"]) or "(whole file)"
        problems.append(f"{field} = {problem['input']!r}: {problem['msg']}")
    return "; ".join(problems)
