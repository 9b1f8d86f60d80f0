"""The package from outside: the modules that a start imports, the packages it contains, and error codes."""

from __future__ import annotations

import importlib
import pkgutil
import subprocess
import sys
import tomllib

import sabledyke
from sabledyke import errors
from tests.support.platform_config import ROOT

OPTIONAL_MODULES = (
    "compacted_log",
    "rollout",
    "placement",
    "quota_sharing",
    "lease",
    "testbed",
    "store",
    "tls",
    "cli",
    "operator_config",
    "structured_log",
    "toml_tables",
)


def test_a_plain_start_imports_no_optional_module() -> None:
    """Schedulers share no state on the platform, and must start quickly."""
    code = "import sys, sabledyke.__main__, sabledyke.application.server; print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT
    )
    loaded = completed.stdout.split()
    own = [name for name in loaded if name.startswith("sabledyke.")]
    present = {module.name for module in pkgutil.iter_modules(sabledyke.__path__)}
    assert present.issuperset(OPTIONAL_MODULES), "a renamed package would make this check empty"
    assert "sabledyke.shutdown.graceful_shutdown" in own
    assert not [name for name in own if name.split(".")[1] in OPTIONAL_MODULES]
    assert "msgspec" not in loaded


def test_the_distribution_holds_every_package() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    present = [
        ".".join(path.parent.relative_to(ROOT).parts) for path in (ROOT / "sabledyke").rglob("__init__.py")
    ]
    assert sorted(project["tool"]["setuptools"]["packages"]) == sorted(present)


def test_every_error_type_has_a_code_of_its_own_and_a_place_on_the_on_call_page() -> None:
    for module in pkgutil.walk_packages(sabledyke.__path__, "sabledyke."):
        if module.name != "sabledyke.__main__":
            importlib.import_module(module.name)
    error_types = list(errors.error_types())
    codes = [error_type.code for error_type in error_types]
    assert len(set(codes)) == len(codes)
    assert len(codes) > 20
    page = (ROOT / "docs" / "ONCALL.md").read_text()
    for error_type in error_types[1:]:
        assert f"| `{error_type.code}` | {error_type.remedy} |" in page, error_type
        error = Exception.__new__(error_type)
        error.args = ("what happened",)
        assert error.line == f"what happened ({error_type.code}: {error_type.remedy})"
        assert "\n" not in error.line
        assert error.fields == {
            "code": error_type.code,
            "what": "what happened",
            "remedy": error_type.remedy,
        }
