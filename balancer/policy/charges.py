"""What the charges of a deployment make worth while."""

from __future__ import annotations

from balancer.interface import LoadReportMode, Settings

NEGLIGIBLE_CHARGE = 0.012  # part of the result that a charge may take without restricting a choice
HEALTH_CHECK_SAMPLE_SIZE = 3  # endpoints that are checked at once before a request is sent
MAX_HEALTH_CHECK_ROUNDS = 3  # rounds of checks before the lowest estimate seen is taken


def checks_health_before_sending(settings: Settings) -> bool:
    """Return whether each request waits for health checks of a few endpoints."""
    return (
        settings.health_checks_allowed
        and settings.load_report_mode is not LoadReportMode.NONE
        and settings.charges.probe * HEALTH_CHECK_SAMPLE_SIZE <= NEGLIGIBLE_CHARGE
    )


def is_cross_zone_costly(settings: Settings) -> bool:
    """Return whether sending to another zone costs enough to prefer the own one."""
    return settings.charges.cross_zone > NEGLIGIBLE_CHARGE
