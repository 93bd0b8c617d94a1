"""Support for the decisions of earlier revisions, for ``lab compare --against``.

Some names of ``orchidlane.interface`` have changed since revision 627e78d, and the simulator uses only the
current ones. ``provide_current_names`` adds those that the imported ``orchidlane.interface`` does not have,
each separately, because some revisions have only a part of the changes.
"""

from __future__ import annotations

from functools import partial
from operator import attrgetter
from typing import Any

from orchidlane import interface

# Current names, each with its earlier name.
CLASSES = {"SendPeerMessage": "TellPeer"}
ATTRIBUTES = {("Send", "deadline"): "give_up_at", ("SetTimer", "delay"): "span"}
REQUEST_CLASS_FIELDS = {"target_latency": "aim", "dedup_window": "window"}


def provide_current_names() -> None:
    """Add the current names that the simulator uses and ``orchidlane.interface`` lacks.

    Nothing changes if the interface has all of them.
    """
    for name, earlier_name in CLASSES.items():
        if not hasattr(interface, name):
            setattr(interface, name, getattr(interface, earlier_name))
    for (class_name, name), earlier_name in ATTRIBUTES.items():
        action_class = getattr(interface, class_name)
        if not hasattr(action_class, name):
            setattr(action_class, name, property(attrgetter(earlier_name)))
    # An earlier call has replaced the class by a function, which has no fields.
    fields = getattr(interface.RequestClass, "__dataclass_fields__", {})
    earlier_fields = {name: old for name, old in REQUEST_CLASS_FIELDS.items() if old in fields}
    if earlier_fields:
        vars(interface)["RequestClass"] = partial(_request_class, interface.RequestClass, earlier_fields)


def _request_class(make: type, earlier_fields: dict[str, str], **arguments: Any) -> Any:
    """Create a request class of an earlier revision from arguments with current names."""
    return make(**{earlier_fields.get(name, name): value for name, value in arguments.items()})
