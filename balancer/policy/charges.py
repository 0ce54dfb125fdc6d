"""Decides, from the configured charges, which features are worth their cost."""

from __future__ import annotations

from balancer.interface import LoadReportMode, Settings

NEGLIGIBLE_CHARGE = 0.012  # Charges of up to 1.2 % of the score do not influence decisions.
HEALTH_CHECK_SAMPLE_SIZE = 3
MAX_HEALTH_CHECK_ROUNDS = 3  # After 3 rounds without an idle endpoint, the lowest estimate decides.


def checks_health_before_sending(settings: Settings) -> bool:
    """Return whether each request waits for health checks of a sample of endpoints."""
    return (
        settings.health_checks_allowed
        and settings.load_report_mode is not LoadReportMode.NONE
        and settings.charges.probe * HEALTH_CHECK_SAMPLE_SIZE <= NEGLIGIBLE_CHARGE
    )


def is_cross_zone_costly(settings: Settings) -> bool:
    """Return whether cross-zone traffic costs enough to prefer endpoints of the node's own zone."""
    return settings.charges.cross_zone > NEGLIGIBLE_CHARGE
