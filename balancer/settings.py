"""Parses the settings object of a simulator's START line or of a node's configuration.

Only this module maps the object's keys and values to the names of `balancer.interface`.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, replace
from typing import Any

from balancer import interface as api

Table = dict[str, Any]

IDEMPOTENCY = {
    "retryable": api.Idempotency.IDEMPOTENT,
    "dedup": api.Idempotency.WITH_KEY,
    "fragile": api.Idempotency.NOT_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}
LOAD_REPORT_MODES = {
    "inline": api.LoadReportMode.IN_RESPONSES,
    "on_probe": api.LoadReportMode.IN_HEALTH_CHECKS,
    "off": api.LoadReportMode.NONE,
}
WEIGHT_SOURCES = {"off": False, "nominal": True, "rough": True, "live": True}
WEIGHT_UNITS = {"request": False, "work": True}
DISCOVERY_MODES = {"automatic": False, "subscribe": True}
CHARGES = (
    "probe", "waste", "cross-zone", "late-fail", "handshake", "connection", "discovery", "fleet", "moves",
    "origin", "peer",
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Section:
    """A table of the settings and its path, which errors name. All getters raise SettingsError."""

    table: Table
    path: str = ""

    def invalid_value(self, name: str, expected: str, value: object) -> api.SettingsError:
        """Return the error for a value that is not `expected`, which completes "must be"."""
        return api.SettingsError(f"{self.path}{name} must be {expected}, got {value!r}")

    def number(
        self, name: str, default: float | None, low: float = 0.0, kind: str = "a finite number"
    ) -> float:
        """Return a finite number of at least `low`; the key is required if `default` is None.

        The error for an invalid value says that a `kind` of at least `low` was expected.
        """
        value = self.table.get(name, default)
        if value is None:
            raise api.SettingsError(f"{self.path}{name} is missing")
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value < math.inf:
            raise self.invalid_value(name, f"{kind} of at least {low:g}", value)
        return float(value)

    def integer(self, name: str, default: int, low: int) -> int:
        """Return an integer of at least `low`."""
        value = self.number(name, default, low, "an integer")
        if value != int(value):
            raise self.invalid_value(name, f"an integer of at least {low}", self.table[name])
        return int(value)

    def flag(self, name: str, default: bool = False) -> bool:
        """Return a boolean."""
        value = self.table.get(name, default)
        if not isinstance(value, bool):
            raise self.invalid_value(name, "true or false", value)
        return value

    def text(self, name: str, default: str | None, expected: str = "a string") -> str:
        """Return a string; if `default` is None, the key is required and must not be empty.

        The error for a value that is not a string says that `expected` was expected.
        """
        value = self.table.get(name, default)
        if value is None or (value == "" and default is None):
            raise api.SettingsError(f"{self.path}{name} is missing")
        if not isinstance(value, str):
            raise self.invalid_value(name, expected, value)
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of strings; a missing key means an empty list."""
        value = self.table.get(name, [])
        if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
            raise self.invalid_value(name, "a list of strings", value)
        return tuple(value)

    def choice(self, name: str, among: dict[str, Any], default: str | None) -> Any:
        """Return the value that `among` maps the string to."""
        expected = f"one of {', '.join(among)}"
        value = self.text(name, default, expected)
        if value not in among:
            raise self.invalid_value(name, expected, value)
        return among[value]

    def section(self, name: str) -> Section:
        """Return a nested table; a missing key means an empty table."""
        value = self.table.get(name, {})
        if not isinstance(value, dict):
            raise self.invalid_value(name, "a table", value)
        return Section(value, f"{self.path}{name}.")

    def sections(self, name: str) -> list[Section]:
        """Return a list of nested tables; a missing key means an empty list."""
        value = self.table.get(name, [])
        if not isinstance(value, list):
            raise self.invalid_value(name, "a list of tables", value)
        for index, row in enumerate(value):
            if not isinstance(row, dict):
                raise self.invalid_value(f"{name}[{index}]", "a table", row)
        return [Section(row, f"{self.path}{name}[{index}].") for index, row in enumerate(value)]


def parse_settings_text(text: str) -> api.Settings:
    """Parse the settings of a START line; raises SettingsError if one is missing or invalid."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as err:
        raise api.SettingsError(f"boot-info is not valid JSON: {err}") from None
    if not isinstance(raw, dict):
        raise api.SettingsError("boot-info must be a JSON object, not an array or a scalar")
    return parse_settings(raw)


def parse_settings(raw: Table) -> api.Settings:
    """Parse the settings from their decoded JSON object; raises SettingsError if one is missing or invalid.

    Unknown keys are ignored, and so are `family`, `stages` and `tier`: an instance sends to one tier only, so
    no decision depends on them.
    """
    root = Section(raw)
    limits = root.section("limits")
    rules = root.section("rules")
    load_info = root.section("load-info")
    charges = root.section("charges")
    blend = root.section("blend")
    family = root.section("family-info")
    classes = _class_sections(root)
    node_count = root.integer("group-size", 1, 1)
    node_index = root.integer("me", 0, 0)
    honors_retry_after = limits.flag("retry-after")
    settings = replace(
        _base_settings(root, rules, classes),
        node_index=node_index,
        node_count=node_count,
        charges=_charges(charges),
        score_weights=_score_weights(blend),
        over_quota_weight=root.number("over-share-worth", 1.0),
        weight_by_work=root.choice("worth-by", WEIGHT_UNITS, "request"),
        must_subscribe=root.choice("discovery", DISCOVERY_MODES, "subscribe"),
        load_report_mode=load_info.choice("how", LOAD_REPORT_MODES, "off"),
        load_report_fields=load_info.texts("names"),
    )
    settings = _with_rules(settings, limits, rules, honors_retry_after)
    settings = _with_environment(settings, root, limits, family)
    return _with_connection_limits(settings, limits)


def _base_settings(root: Section, rules: Section, classes: list[Section]) -> api.Settings:
    """Parse the request classes, the tenants, the zone, the clock granularity and the slow start."""
    slow_start_ms = rules.number("ramp-time", 60_000.0)
    cold_capacity_fraction = rules.number("cold-share", 0.0)
    if cold_capacity_fraction > 1:
        raise rules.invalid_value("cold-share", "a number from 0 to 1", cold_capacity_fraction)
    return api.Settings(
        classes=tuple(_request_class(section) for section in classes),
        slow_start_ms=slow_start_ms,
        cold_capacity_fraction=cold_capacity_fraction,
        zone=root.text("zone", ""),
        clock_granularity_ms=root.number("granularity", 1.0),
        tenants=tuple(_tenant(section) for section in root.sections("projects")),
    )


def _class_sections(root: Section) -> list[Section]:
    """Return the tables of the request classes; raises SettingsError on no class or a duplicate name."""
    sections = root.sections("request-classes")
    if not sections:
        raise api.SettingsError("request-classes is missing")
    names = set[str]()
    for section in sections:
        name = section.table.get("name")
        if repr(name) in names:
            raise section.invalid_value("name", "unique among the request classes", name)
        names.add(repr(name))
    return sections


def _request_class(section: Section) -> api.RequestClass:
    deadline = section.number("give-up", None)
    parsed = api.RequestClass(
        name=section.text("name", None),
        idempotency=section.choice("effect", IDEMPOTENCY, None),
        latency_objective_ms=section.number("objective", deadline),
        deadline_ms=deadline,
        priority_weight=section.number("value", 1.0),
        late_weight_fraction=section.number("late-worth", 0.0),
        # The defaults are the safest: duplicates are recognised only within a cell, and for no time at all.
        deduplication_scope=section.choice("group", DEDUPLICATION_SCOPES, "cell"),
        deduplication_window_ms=section.number("memory-span", 0.0),
        streamed=section.flag("streamed"),
        objective_ms_per_work_unit=section.number("aim-stretch", 0.0),
    )
    for name, value in (("give-up", parsed.deadline_ms), ("objective", parsed.latency_objective_ms)):
        if value <= 0:
            raise section.invalid_value(name, "a number greater than 0", value)
    return parsed


def _tenant(section: Section) -> api.Tenant:
    return api.Tenant(
        name=section.text("name", None),
        quota_per_s=section.number("quota-per-s", 0.0),
        share=section.number("share", 0.0),
    )


def _charges(section: Section) -> api.Charges:
    return api.Charges(**{name.replace("-", "_"): section.number(name, 0.0) for name in CHARGES})


def _score_weights(section: Section) -> api.ScoreWeights:
    return api.ScoreWeights(
        whole=section.number("whole", 1.0),
        worst_window=section.number("worst-window", 0.0),
        worst_class=section.number("worst-class", 0.0),
        worst_tenant=section.number("worst-tenant", 0.0),
        nines=section.number("nines", 0.0),
        top_nines=section.number("top-nines", 3.0),
        slow_end=section.number("slow-end", 0.0),
        miss_allowed=section.number("miss-allowed", 0.0),
    )


def _with_rules(
    settings: api.Settings, limits: Section, rules: Section, honors_retry_after: bool
) -> api.Settings:
    """Parse the rules for attempts, for the endpoint list and for the overload of endpoints."""
    return replace(
        settings,
        health_checks_allowed=limits.flag("probing"),
        cancellation_allowed=limits.flag("cancel"),
        hedging_allowed=limits.flag("second-copies"),
        max_attempts=limits.integer("most-tries", 1, 1),
        max_retry_after_ms=limits.number("max-retry-after", 0.0) if honors_retry_after else 0.0,
        answer_slack_ms=rules.number("answer-slack", 0.0),
        list_max_age_ms=rules.number("ask-within", 10_000.0),
        drain_grace_ms=rules.number("drain-grace", 0.0),
        overload_window_ms=rules.number("fall", 1_000.0),
        overload_multiple=rules.number("fall-multiple", 1.0),
    )


def _with_environment(
    settings: api.Settings, root: Section, limits: Section, family: Section
) -> api.Settings:
    """Parse the properties of the endpoints, the network and the clients."""
    return replace(
        settings,
        has_endpoint_weights=root.choice("weight-source", WEIGHT_SOURCES, "off"),
        connect_timeout_ms=limits.number("connect-timeout", 250.0),
        zones=root.texts("failure-domains"),
        kinds=root.texts("kinds"),
        clients_mark_retries=root.section("client-habits").flag("marks-retry"),
        warm_keys=family.flag("warm-keys"),
        propagates_deadline=family.flag("passes-deadline"),
        peer_messages_allowed=limits.flag("peers"),
    )


def _with_connection_limits(settings: api.Settings, limits: Section) -> api.Settings:
    """Parse the limits of connections and of processor time."""
    return replace(
        settings,
        connection_idle_ms=limits.number("conn-idle", 0.0),
        streams_per_connection=limits.integer("streams-per-conn", 1, 1),
        max_open_requests=limits.integer("max-open", 20_000, 1),
        cpu_us_per_s=limits.number("cpu-us-per-s", 0.0),
        cpu_us_per_request=limits.number("cpu-us-per-request", 0.0),
    )
