"""Check out the variants that are compared."""

import dataclasses
import pathlib
import queue
import subprocess

PATCHES = pathlib.Path(__file__).resolve().parent / "patches"
ROOT = pathlib.Path(__file__).resolve().parents[2]
# What a process of the system is built from.
_SOURCES = ("src", "deploy/system.toml", "deploy/requirements.txt")


@dataclasses.dataclass(frozen=True)
class Variant:
    """Name a commit, and the patches that are applied to it in order."""

    name: str
    commit: str = "HEAD"
    patches: tuple[pathlib.Path, ...] = ()


def parse_variant(text: str) -> Variant:
    """Return the variant of `[NAME=]WORD[+WORD...]`.

    A word is a patch file, the name of a patch in `patches`, or a commit; without a
    commit, the patches are applied to HEAD.
    """
    name, _, words = text.rpartition("=")
    commit, patches = "HEAD", []
    for word in words.split("+"):
        path = next(
            (
                path
                for path in (pathlib.Path(word), PATCHES / f"{word}.patch")
                if path.is_file()
            ),
            None,
        )
        if path is None:
            commit = word
        else:
            patches.append(path.resolve())
    return Variant(name or words, commit, tuple(patches))


def patch_names() -> list[str]:
    """Return the mechanisms that a patch switches off."""
    return sorted(path.stem for path in PATCHES.glob("*.patch"))


def apply_patch(path: pathlib.Path, directory: pathlib.Path) -> None:
    """Apply a patch to a checkout."""
    subprocess.run(["git", "apply", str(path)], cwd=directory, check=True)


class Checkouts:
    """Lend checkouts of variants, each to one play at a time."""

    def __init__(self, parent: pathlib.Path):
        self._parent = parent
        self._free: dict[Variant, queue.SimpleQueue[pathlib.Path]] = {}
        self._made = 0
        self._keys: dict[Variant, str] = {}

    def add(self, variant: Variant) -> str:
        """Check a variant out; return the hash of its sources."""
        if variant not in self._keys:
            directory = self._make(variant)
            self._keys[variant] = _hash_sources(directory)
            self._free[variant] = queue.SimpleQueue()
            self._free[variant].put(directory)
        return self._keys[variant]

    def borrow(self, variant: Variant) -> pathlib.Path:
        """Return a checkout of a variant that no other play uses."""
        try:
            return self._free[variant].get_nowait()
        except queue.Empty:
            return self._make(variant)

    def give_back(self, variant: Variant, directory: pathlib.Path) -> None:
        """Lend a checkout again."""
        self._free[variant].put(directory)

    def _make(self, variant: Variant) -> pathlib.Path:
        self._made += 1
        directory = self._parent / f"{self._made}"
        _git(self._parent, "clone", "-q", "--no-checkout", str(ROOT), str(directory))
        commit = _git(ROOT, "rev-parse", variant.commit).strip()
        _git(directory, "checkout", "-q", commit)
        for path in variant.patches:
            apply_patch(path, directory)
        return directory


def _hash_sources(directory: pathlib.Path) -> str:
    _git(directory, "add", *_SOURCES)
    tree = _git(directory, "write-tree").strip()
    listing = _git(directory, "ls-tree", tree, *_SOURCES)
    return _git(directory, "hash-object", "--stdin", text=listing).strip()[:12]


def _git(directory: pathlib.Path, *words: str, text: str | None = None) -> str:
    run = subprocess.run(
        ["git", *words],
        cwd=directory,
        input=text,
        capture_output=True,
        text=True,
        check=True,
    )
    return run.stdout
