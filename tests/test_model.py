"""The model check of membership: the invariants hold on all paths, and each planted defect violates one."""

from __future__ import annotations

import pytest

from lab import defects, model
from orchidlane.membership import Membership


@pytest.mark.parametrize(
    ("size", "window", "faults", "kinds"),
    [
        (2, 24, 1, model.FAULT_KINDS),
        (3, 18, 1, model.FAULT_KINDS),
        (2, 9, 2, model.FAULT_KINDS),
        (3, 9, 2, ("late", "restart")),
    ],
)
def test_the_invariants_hold_for_every_placement_of_a_few_faults(size, window, faults, kinds):
    result = model.check(size=size, window=window, max_faults=faults, kinds=kinds)
    assert result.violations == []
    assert result.paths > 30 and result.states > result.paths


@pytest.mark.parametrize(
    ("defect", "faults", "kinds", "description"),
    [
        ("no-incarnation", 1, model.FAULT_KINDS, "still considers"),
        ("no-refutation", 1, model.FAULT_KINDS, "still considers"),
        ("no-self-doubt", 1, model.FAULT_KINDS, "is not doubtful"),
        ("old-lives-count", 2, ("late", "restart"), "went back"),
    ],
)
def test_a_planted_defect_violates_an_invariant(defect, faults, kinds, description):
    result = model.check(
        defects.CORE_DEFECTS[defect], size=3, window=12, max_faults=faults, kinds=kinds, max_violations=1
    )
    assert description in str(result.violations[0])


def test_equal_paths_lead_to_equal_fingerprints():
    one, other = (model.World(Membership, 3).warm_up() for _ in range(2))
    assert one.fingerprint() == other.fingerprint()
    fault = next(iter(one.possible_faults(("restart",))))
    one.advance((fault,))
    other.advance()
    assert one.fingerprint() != other.fingerprint()
